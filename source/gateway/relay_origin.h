#pragma once

#include "gateway/caller_exchange.h"

namespace knapweed::gateway {

/** What another instance states about a request that it relays to this one. */
struct relay_origin {
    std::string instance;   ///< id of the other instance, at most 128 bytes
    unsigned max_sends = 1; ///< number of servers to which the request may be sent, 1 to 8
};

/** Removes the fields of `relay_fields.h` from a request, so that no server receives them, and replaces the
   address of the other instance by that of the caller. To be called only for requests from other instances.
    @returns the content of the fields; the defaults for those that are absent or malformed. */
[[nodiscard]] relay_origin take_relay_origin(caller_request& request);

} // namespace knapweed::gateway
