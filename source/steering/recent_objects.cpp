#include "steering/recent_objects.h"

namespace knapweed::steering {

void recent_objects::remember(std::uint64_t object, std::size_t requests)
{
    recent_.push_back(object);
    ++counts_[object];
    while (recent_.size() > requests) {
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
