#include "steering/run_time_estimate.h"

#include <algorithm>

namespace knapweed::steering {

namespace {

/** A sample moves the mean by the difference divided by this; the first samples use smaller divisors. */
constexpr int sample_divisor = 24;
constexpr int first_sample_divisor = 3;
/** Run times at familiar and unfamiliar servers are estimated as quantiles, since samples may be
   misclassified: a server may have dropped an object that counts as familiar, or have cached an object for
   another instance's request that counts as unfamiliar. */
constexpr double familiar_quantile = 0.25;
constexpr double unfamiliar_quantile = 0.7;
/** Part of the estimate by which one sample can change a quantile. */
constexpr double quantile_step = 0.08;
/** Samples are limited to this multiple of the estimate, since slow servers are handled by their own
   `speed_estimate`. */
constexpr int max_sample_multiple = 3;
constexpr core::milliseconds min_run_time{1};

/** Adjusts the estimate of a quantile by one sample. The estimate converges to the value below which the
   given part of the samples lies. */
void track_quantile(core::duration& estimate, core::duration sample, double quantile, double step)
{
    const double direction = sample > estimate ? quantile : quantile - 1;
    estimate += std::chrono::duration_cast<core::duration>(estimate * (step * direction));
}

int divisor_after(int samples)
{
    return std::min(sample_divisor, first_sample_divisor + samples);
}

/** Run times before the first answers, as parts of the target latency. Until caches have filled, a server
   that has to fetch an object misses the target, and one that has cached it answers in less than half of it.
   Estimates that are too low fill the queues of a region which has few servers; estimates that differ too
   little send requests for an object to many servers. */
constexpr double assumed_run_share = 0.8;
constexpr double assumed_familiar_share = 0.4;
constexpr double assumed_unfamiliar_share = 1.2;
constexpr core::milliseconds min_assumed_target{50};

core::duration part_of(core::duration target_latency, double share)
{
    return std::chrono::duration_cast<core::duration>(
        std::max<core::duration>(target_latency, min_assumed_target) * share);
}

} // namespace

run_time_estimate::run_time_estimate(core::duration target_latency)
    : mean_(part_of(target_latency, assumed_run_share)),
      familiar_(part_of(target_latency, assumed_familiar_share)),
      unfamiliar_(part_of(target_latency, assumed_unfamiliar_share))
{}

void run_time_estimate::observe(core::duration taken, std::optional<bool> familiar)
{
    const auto sample = std::clamp<core::duration>(taken, min_run_time, mean_ * max_sample_multiple);
    mean_ += (sample - mean_) / divisor_after(samples_);
    const double step = std::max(quantile_step, 1.0 / divisor_after(samples_));
    samples_ = std::min(samples_ + 1, sample_divisor);
    if (!familiar)
        return;
    if (*familiar)
        track_quantile(familiar_, sample, familiar_quantile, step);
    else
        track_quantile(unfamiliar_, sample, unfamiliar_quantile, step);
}

} // namespace knapweed::steering
