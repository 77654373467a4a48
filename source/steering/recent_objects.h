#pragma once

#include "core/core.h"

#include <deque>
#include <unordered_map>

namespace knapweed::steering {

/** The objects of the latest requests that this instance sent to one backend server. The server has them at
   hand: it keeps the objects of its last few dozen requests, and several instances send to it. */
class recent_objects {
public:
    /** @param requests that are remembered, this one among them. */
    void remember(std::uint64_t object, std::size_t requests);
    [[nodiscard]] bool contains(std::uint64_t object) const { return counts_.contains(object); }
    void clear();

private:
    std::deque<std::uint64_t> recent_;                   ///< latest last
    std::unordered_map<std::uint64_t, unsigned> counts_; ///< how often each occurs among them
};

} // namespace knapweed::steering
