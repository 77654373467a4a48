#include "steering/region_plan.h"

#include <algorithm>

namespace knapweed::steering {

namespace {

/** Part of a region's capacity that is planned for: above it, waiting times grow steeply. */
constexpr double planned_utilisation = 0.88;

double planned_capacity(const region_supply& supply)
{
    return supply.capacity * planned_utilisation;
}

double overflow_of(const region_supply& supply)
{
    return std::max(0.0, supply.demand - planned_capacity(supply));
}

double spare_of(const region_supply& supply)
{
    return std::max(0.0, planned_capacity(supply) - supply.demand);
}

} // namespace

state::weights_of<core::region_id> plan_regions(const core::region_id& own,
                                                const std::vector<region_supply>& supplies)
{
    state::weights_of<core::region_id> weights;
    double capacity = 0;
    double own_capacity = 0;
    double own_demand = 0;
    double own_overflow = 0;
    double overflow = 0;
    double spare = 0;
    for (const auto& supply : supplies) {
        capacity += supply.capacity;
        overflow += overflow_of(supply);
        spare += spare_of(supply);
        if (supply.region != own)
            continue;
        own_capacity = supply.capacity;
        own_demand = supply.demand;
        own_overflow = overflow_of(supply);
    }
    if (capacity <= 0)
        return weights;
    const double moved = overflow <= 0 ? 0 : own_overflow * std::min(1.0, spare / overflow);
    const double kept = own_capacity <= 0 ? 0 : std::max(own_demand - moved, 0.0);
    if (own_capacity > 0)
        weights[own] = own_demand <= 0 ? 1 : kept / own_demand;
    for (const auto& supply : supplies) {
        if (supply.region == own || spare <= 0 || own_demand <= 0)
            continue;
        weights[supply.region] = moved * spare_of(supply) / spare / own_demand;
    }
    const bool any =
        std::any_of(weights.begin(), weights.end(), [](const auto& each) { return each.second > 0; });
    if (any)
        return weights;
    // Nothing is to spare and the own region serves nothing: divide by capacity.
    for (const auto& supply : supplies)
        weights[supply.region] = supply.capacity;
    return weights;
}

} // namespace knapweed::steering
