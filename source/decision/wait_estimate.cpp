#include "decision/wait_estimate.h"

#include <algorithm>

namespace knapweed::decision {

core::duration estimate_wait(const wait_inputs& inputs)
{
    const auto rank = core::index_of(inputs.rank);
    std::size_t total_queued_before = inputs.queued_before[rank];
    double share_left_by_higher_ranks = 1;
    for (std::size_t i = 0; i < rank; ++i) {
        total_queued_before += inputs.queued_before[i];
        share_left_by_higher_ranks -= inputs.share[i];
    }
    if (total_queued_before < inputs.free)
        return core::duration{0};
    double share_left_by_floors = 1;
    for (std::size_t i = 0; i < core::number_of_ranks; ++i) {
        if (i != rank && inputs.queued_before[i] > 0)
            share_left_by_floors -= inputs.floor[i];
    }
    constexpr double minimum_share = 0.01; // keeps the estimate finite
    const double share = std::max(
        {std::min(share_left_by_higher_ranks, share_left_by_floors), inputs.floor[rank], minimum_share});
    const double slots = static_cast<double>(std::max<std::size_t>(inputs.slots, 1));
    const double time_per_start = static_cast<double>(inputs.mean_run.count()) / slots;
    // Either the queues of the higher ranks drain before this request starts, or the floor of its rank lets
    // it start earlier.
    const double wait_behind_all = static_cast<double>(total_queued_before + 1) * time_per_start /
                                   std::max(share_left_by_floors, minimum_share);
    const double wait_at_share = static_cast<double>(inputs.queued_before[rank] + 1) * time_per_start / share;
    const double wait_at_floor =
        inputs.floor[rank] > 0
            ? static_cast<double>(inputs.queued_before[rank] + 1) * time_per_start / inputs.floor[rank]
            : std::max(wait_behind_all, wait_at_share);
    return core::duration{
        static_cast<core::duration::rep>(std::min(wait_at_floor, std::max(wait_behind_all, wait_at_share)))};
}

} // namespace knapweed::decision
