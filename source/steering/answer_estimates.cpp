#include "steering/answer_estimates.h"

#include <algorithm>

namespace knapweed::steering {

namespace {

/** Weight of the latest answer's size in the expected answer size of its route. */
constexpr double size_weight = 0.1;

} // namespace

std::optional<double> answer_estimates::kilobytes(const std::string& route) const
{
    const auto found = kilobytes_.find(route);
    return found == kilobytes_.end() ? std::nullopt : std::optional(found->second);
}

const run_time_estimate& answer_estimates::run_times(const route& of)
{
    return run_times_.try_emplace(of.name, assumed_target(of)).first->second;
}

void answer_estimates::record(const request_plan& plan, const backend_server& server,
                              const attempt_result& result, const distance_table& distances,
                              service_state& state)
{
    const auto& attempt = plan.attempts.back();
    if (result.outcome != attempt_outcome::answered)
        return;
    state.record_answer();
    if (server.cold_start().is_cold())
        return;
    const bool waited = attempt.occupancy + 1 > server.slots() || (result.load && result.load->waiting > 0);
    const auto run_time = result.taken - distances.round_trip({server.record().data_centre, server.region()});
    std::optional<bool> familiar;
    if (plan.object_hash != 0)
        familiar = attempt.familiar;
    auto& of_route = run_times_.try_emplace(plan.matched->name, assumed_target(*plan.matched)).first->second;
    if (waited) {
        const double queued = std::max(0.0, attempt.occupancy + 1 - server.slots());
        if (const auto used =
                state.observe_waited(server.region(), run_time, queued / server.slots(), familiar))
            of_route.observe(*used, familiar);
        return;
    }
    state.observe_run_time(server.region(), run_time, familiar);
    of_route.observe(run_time, familiar);
    auto& size = kilobytes_.try_emplace(plan.matched->name, result.answer_kilobytes).first->second;
    size += size_weight * (result.answer_kilobytes - size);
}

} // namespace knapweed::steering
