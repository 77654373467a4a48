#pragma once

#include "core/core.h"

#include <list>
#include <unordered_map>

namespace knapweed::steering {

/** The objects that this instance has lately sent requests for to one backend server. The server has them at
    hand, as far as it does not run out of room for them. */
class object_memory {
public:
    /** @param capacity objects that are remembered; the least recently used one is dropped first. */
    explicit object_memory(std::size_t capacity) : capacity_(capacity) {}

    void remember(std::uint64_t object);
    [[nodiscard]] bool knows(std::uint64_t object) const { return by_object_.contains(object); }
    void clear();

private:
    std::size_t capacity_;
    std::list<std::uint64_t> recent_; ///< most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> by_object_;
};

} // namespace knapweed::steering
