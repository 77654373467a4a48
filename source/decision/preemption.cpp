#include "decision/preemption.h"

#include <algorithm>

namespace knapweed::decision {

namespace {

core::duration sum_over_ranks(const slot_time& used)
{
    core::duration sum{0};
    for (const auto rank : core::all_ranks)
        sum += used.used(rank);
    return sum;
}

} // namespace

std::vector<core::exchange_id> choose_runs_to_preempt(server_set& servers, const slot_time& used,
                                                      const preemption_settings& settings,
                                                      std::size_t waiting_urgent, core::time_point now)
{
    std::vector<slot_run*> candidates;
    std::size_t cancelling = 0;
    core::duration cancelled_time{0};
    for (auto& [name, slots] : servers.all()) {
        for (auto& run : slots.runs()) {
            if (run.cancelling) {
                ++cancelling;
                cancelled_time += now - run.started;
            }
            else if (run.request.rank == core::rank::bulk && run.request.idempotent && !run.solitary &&
                     slots.open(now)) {
                candidates.push_back(&run);
            }
        }
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const slot_run* a, const slot_run* b) { return a->started > b->started; });
    const double total_used = static_cast<double>(sum_over_ranks(used).count());
    std::vector<core::exchange_id> chosen;
    for (auto* run : candidates) {
        cancelled_time += now - run->started;
        const double waste = used.wasted_share() * total_used + static_cast<double>(cancelled_time.count());
        if (cancelling + chosen.size() >= waiting_urgent || waste >= settings.waste_limit * total_used)
            break;
        run->cancelling = true;
        chosen.push_back(run->request.exchange);
    }
    return chosen;
}

} // namespace knapweed::decision
