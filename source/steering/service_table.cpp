#include "steering/service_table.h"

#include <algorithm>

namespace knapweed::steering {

namespace {

constexpr core::milliseconds plan_interval{500};

} // namespace

service_state& service_table::state_of(const core::service_id& service, const route& first)
{
    const auto found = states_.find(service);
    if (found != states_.end())
        return found->second;
    return states_.emplace(service, service_state(cap_, assumed_target(first), time_)).first->second;
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
