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
   When the total demand exceeds the total capacity, some requests have to be refused. The capacities are then
   scaled up by the square root of demand / capacity, which lies between two extremes: without scaling, a
   region with few servers would refuse most of its requests; scaled up to the demand, every region would
   refuse the same part, but more requests would go to other regions, whose answers arrive late. Every
   instance of a region computes the same weights from the same supplies.

    @param own region whose callers' requests are divided. @param supplies all regions, @p own among them.
    @param evenness from 0 to 1: 0 scales by the square root as described; 1 scales up to the demand, for
   requests that other regions answer in time as well.
    @returns relative weights by region; empty when no region has capacity.
*/
[[nodiscard]] state::weights_of<core::region_id>
plan_regions(const core::region_id& own, const std::vector<region_supply>& supplies, double evenness = 0);

} // namespace knapweed::steering
