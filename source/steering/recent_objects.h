#pragma once

#include "core/core.h"

#include <deque>
#include <unordered_map>

namespace knapweed::steering {

/** The objects of the latest requests that this instance sent to one backend server. The server has probably
   cached them: it keeps the objects of its last few dozen requests, which come from several instances. */
class recent_objects {
public:
    /** Adds the object of a request. @param max_requests number of latest requests to keep, this one
     * included. */
    void add(std::uint64_t object_hash, std::size_t max_requests);
    [[nodiscard]] bool contains(std::uint64_t object_hash) const { return counts_.contains(object_hash); }
    void clear();

private:
    std::deque<std::uint64_t> recent_;                   ///< objects by request, latest last
    std::unordered_map<std::uint64_t, unsigned> counts_; ///< number of entries in `recent_` by object
};

} // namespace knapweed::steering
