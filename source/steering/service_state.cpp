#include "steering/service_state.h"

namespace knapweed::steering {

namespace {

/** A sample moves the mean by this part of the difference. */
constexpr int sample_divisor = 24;
/** Run times at familiar and unfamiliar servers are tracked as quantiles: a server may have dropped an object that
    counts as familiar, and another instance may have sent it one that counts as unfamiliar. */
constexpr double familiar_quantile = 0.25;
constexpr double unfamiliar_quantile = 0.7;
/** Part of the estimate by which one sample can move a quantile. */
constexpr double quantile_step = 0.08;
/** A sample counts for at most this multiple of the estimate: slow servers are judged one by one. */
constexpr int largest_multiple = 3;
constexpr core::milliseconds shortest_run{1};

/** Moves an estimate so that it settles where the given part of the samples lies below it. */
void track_quantile(core::duration& estimate, core::duration sample, double quantile)
{
    const double part = sample > estimate ? quantile : quantile - 1;
    estimate += std::chrono::duration_cast<core::duration>(estimate * (quantile_step * part));
}

} // namespace

void service_state::observe_run_time(core::duration taken, std::optional<bool> familiar)
{
    const auto sample = std::clamp<core::duration>(taken, shortest_run, run_time_ * largest_multiple);
    run_time_ += (sample - run_time_) / sample_divisor;
    if (!familiar)
        return;
    if (*familiar)
        track_quantile(familiar_, sample, familiar_quantile);
    else
        track_quantile(unfamiliar_, sample, unfamiliar_quantile);
}

} // namespace knapweed::steering
