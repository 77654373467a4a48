#include "steering/region_planner.h"

#include "steering/region_plan.h"

#include <algorithm>
#include <cmath>

namespace knapweed::steering {

namespace {

/** Time constant of the decay of a service's assumed demand; afterwards the measured demand applies. */
constexpr std::chrono::duration<double> assumed_demand_decay{3.0};
/** Demand that is assumed of each region at first, as part of an equal share of the whole capacity. */
constexpr double assumed_utilisation = 0.8;
/** Part by which a region's capacity estimate is reduced when no request planned for it finds room, since the
   estimate is then too high. */
constexpr double refusal_weight = 0.6;
/** Capacity of a cold server, as part of its normal capacity. */
constexpr double cold_capacity_share = 0.3;

} // namespace

region_planner::region_planner(core::region_id own, const server_catalogue& servers, const peer_table& peers)
    : own_(std::move(own)), servers_(servers), peers_(peers)
{}

double region_planner::demand_in(const core::service_id& service, const core::region_id& region,
                                 const service_state& state) const
{
    const double own_demand = region == own_ ? state.demand().per_second() : 0;
    return own_demand + peers_.demand(service, region);
}

void region_planner::plan(const core::service_id& service, service_state& state) const
{
    std::map<core::region_id, region_supply> supplies;
    for (const auto& [data_centre, region] : servers_.regions())
        supplies[region].region = region;
    double capacity = 0;
    for (const auto& server : servers_.usable(service)) {
        if (server->rest().remaining() > core::duration::zero())
            continue;
        const auto& region = server->region();
        const double run_seconds = std::chrono::duration<double>(state.run_time_in(region)).count();
        const double available_share = (server->cold_start().is_cold() ? cold_capacity_share : 1) *
                                       (1 - refusal_weight * state.refused_share(region));
        const double run_rate = available_share * server->slots() / run_seconds;
        const double rate = std::min(run_rate, server->limit().per_second().value_or(run_rate));
        supplies[server->region()].capacity += rate;
        capacity += rate;
    }
    const double assumed_weight =
        std::exp(-std::chrono::duration<double>(state.age()).count() / assumed_demand_decay.count());
    const double assumed = assumed_weight * assumed_utilisation * capacity /
                           static_cast<double>(std::max<std::size_t>(supplies.size(), 1));
    std::vector<region_supply> supply_list;
    for (auto& [region, supply] : supplies) {
        supply.region = region;
        supply.demand = std::max(assumed, demand_in(service, region, state));
        supply_list.push_back(supply);
    }
    state.regions().set_target(plan_regions(own_, supply_list, state.timely_far_share()));
}

} // namespace knapweed::steering
