#include "steering/region_plan.h"

#include <algorithm>
#include <cmath>

namespace knapweed::steering {

namespace {

/** Part of a region's capacity that the plan uses; above it, waiting times grow steeply. */
constexpr double planned_utilisation = 0.88;

/** Scaled capacity and demand of a region, in requests per second. */
struct planned_supply {
    core::region_id region;
    double capacity = 0;
    double demand = 0;

    [[nodiscard]] double overflow() const { return std::max(0.0, demand - capacity); }
    [[nodiscard]] double spare() const { return std::max(0.0, capacity - demand); }
};

/** Reduces the capacities to the planned utilisation and, when the total demand exceeds them, scales them up
   by a power of demand / capacity: the square root, or more with evenness. `plan_regions` states the reason.
 */
std::vector<planned_supply> scale(const std::vector<region_supply>& supplies, double evenness)
{
    double capacity = 0;
    double demand = 0;
    for (const auto& supply : supplies) {
        capacity += supply.capacity * planned_utilisation;
        demand += supply.demand;
    }
    const double factor =
        capacity > 0 ? planned_utilisation * std::pow(std::max(1.0, demand / capacity), (1 + evenness) / 2)
                     : 0;
    std::vector<planned_supply> planned;
    planned.reserve(supplies.size());
    for (const auto& supply : supplies)
        planned.push_back({supply.region, supply.capacity * factor, supply.demand});
    return planned;
}

} // namespace

state::weights_of<core::region_id> plan_regions(const core::region_id& own,
                                                const std::vector<region_supply>& supplies, double evenness)
{
    state::weights_of<core::region_id> weights;
    const auto planned = scale(supplies, evenness);
    double capacity = 0;
    double own_capacity = 0;
    double own_demand = 0;
    double own_overflow = 0;
    double overflow = 0;
    double spare = 0;
    for (const auto& supply : planned) {
        capacity += supply.capacity;
        overflow += supply.overflow();
        spare += supply.spare();
        if (supply.region != own)
            continue;
        own_capacity = supply.capacity;
        own_demand = supply.demand;
        own_overflow = supply.overflow();
    }
    if (capacity <= 0)
        return weights;
    const double moved = overflow <= 0 ? 0 : own_overflow * std::min(1.0, spare / overflow);
    const double kept = own_capacity <= 0 ? 0 : std::max(own_demand - moved, 0.0);
    if (own_capacity > 0)
        weights[own] = own_demand <= 0 ? 1 : kept / own_demand;
    for (const auto& supply : planned) {
        if (supply.region == own || spare <= 0 || own_demand <= 0)
            continue;
        weights[supply.region] = moved * supply.spare() / spare / own_demand;
    }
    const bool has_weight =
        std::any_of(weights.begin(), weights.end(), [](const auto& entry) { return entry.second > 0; });
    if (has_weight)
        return weights;
    // This region has no servers, and no other region has spare capacity: divide in proportion to capacity.
    for (const auto& supply : planned)
        weights[supply.region] = supply.capacity;
    return weights;
}

} // namespace knapweed::steering
