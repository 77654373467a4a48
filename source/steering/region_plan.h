#pragma once

#include "state/shift_limiter.h"

#include <vector>

namespace knapweed::steering {

/** What one region offers to a service, and what its callers ask for. */
struct region_supply {
    core::region_id region;
    double capacity = 0; ///< requests per second that its servers can run
    double demand = 0;   ///< requests per second that arrive at its instances
};

/** Divides the requests of one region's callers among the regions.

    Each region serves its own callers first. What exceeds its capacity goes to regions with capacity to
   spare, in proportion to it; all regions that overflow share the spare capacity in proportion to their
   overflow. When the demand exceeds all capacity, the capacities are scaled up to it: then every region turns
   away the same part of its requests, wherever its servers are. Every instance of a region computes the same.

    @returns relative weights by region; empty when no region has capacity.
*/
[[nodiscard]] state::weights_of<core::region_id> plan_regions(const core::region_id& own,
                                                              const std::vector<region_supply>& supplies);

} // namespace knapweed::steering
