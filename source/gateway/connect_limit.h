#pragma once

#include "steering/distance_table.h"

namespace knapweed::gateway {

/** @returns the time limit for opening a connection to a server at a location. */
[[nodiscard]] inline core::duration connect_limit(const steering::distance_table& distances,
                                                  const steering::network_location& server)
{
    constexpr int round_trips = 2;
    constexpr core::milliseconds server_allowance{60}; // for delays at the server
    return distances.round_trip(server) * round_trips + server_allowance;
}

} // namespace knapweed::gateway
