#pragma once

#include "state/shift_limiter.h"

#include <vector>

namespace knapweed::steering {

/** Capacity of one region's servers for a service, and the demand of the region's callers. */
struct region_supply {
    core::region_id region;
    double capacity = 0; ///< requests per second that its servers can run
    double demand = 0;   ///< requests per second that arrive at its instances
};

/** Divides the requests of one region's callers among the regions.

    Each region serves its own callers first. Demand above its capacity goes to regions with spare capacity,
   in proportion to that; all regions that overflow share the spare capacity in proportion to their overflow.
   When the total demand exceeds the total capacity, the capacities are scaled up to it, so that every region
   refuses the same part of its requests, wherever the servers are. Every instance of a region computes the
   same weights from the same supplies.

    @param own region whose callers' requests are divided. @param supplies all regions, @p own among them.
    @returns relative weights by region; empty when no region has capacity.
*/
[[nodiscard]] state::weights_of<core::region_id> plan_regions(const core::region_id& own,
                                                              const std::vector<region_supply>& supplies);

} // namespace knapweed::steering
