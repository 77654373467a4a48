#include "steering/object_memory.h"

namespace knapweed::steering {

void object_memory::remember(std::uint64_t object)
{
    if (const auto found = by_object_.find(object); found != by_object_.end()) {
        recent_.splice(recent_.begin(), recent_, found->second);
        return;
    }
    recent_.push_front(object);
    by_object_.emplace(object, recent_.begin());
    if (recent_.size() <= capacity_)
        return;
    by_object_.erase(recent_.back());
    recent_.pop_back();
}

void object_memory::clear()
{
    recent_.clear();
    by_object_.clear();
}

} // namespace knapweed::steering
