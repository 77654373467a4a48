#include "steering/recent_objects.h"

namespace knapweed::steering {

void recent_objects::add(std::uint64_t object_hash, std::size_t max_requests)
{
    recent_.push_back(object_hash);
    ++counts_[object_hash];
    while (recent_.size() > max_requests) {
        const auto oldest = counts_.find(recent_.front());
        recent_.pop_front();
        if (--oldest->second == 0)
            counts_.erase(oldest);
    }
}

void recent_objects::clear()
{
    recent_.clear();
    counts_.clear();
}

} // namespace knapweed::steering
