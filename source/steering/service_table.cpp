#include "steering/service_table.h"

#include <algorithm>

namespace knapweed::steering {

namespace {

constexpr core::milliseconds plan_interval{500};

/** The run times that are assumed at first must end within the timeout of the route, even if its target is
 * late. */
constexpr int min_targets_per_timeout = 2;

} // namespace

service_state& service_table::state_of(const core::service_id& service, const route& first)
{
    const auto found = states_.find(service);
    if (found != states_.end())
        return found->second;
    const auto target = std::min(first.target_latency, first.timeout / min_targets_per_timeout);
    return states_.emplace(service, service_state(cap_, target, time_)).first->second;
}

std::optional<core::duration> service_table::unfamiliar_run_time(const core::service_id& service) const
{
    const auto found = states_.find(service);
    return found == states_.end() ? std::optional<core::duration>() : found->second.unfamiliar_run_time();
}

std::map<core::service_id, double> service_table::demand() const
{
    std::map<core::service_id, double> result;
    for (const auto& [service, state] : states_)
        result[service] = state.demand().per_second();
    return result;
}

void service_table::tick(const region_planner& planner)
{
    const auto now = time_.now();
    const bool plan_due = now - last_plan_ >= plan_interval;
    if (plan_due)
        last_plan_ = now;
    for (auto& [service, state] : states_) {
        if (plan_due)
            planner.plan(service, state);
        state.regions().tick();
    }
}

} // namespace knapweed::steering
