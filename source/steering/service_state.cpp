#include "steering/service_state.h"

#include <cmath>

namespace knapweed::steering {

namespace {

/** A sample moves the mean by the difference divided by this; the first samples use smaller divisors. */
constexpr int sample_divisor = 24;
constexpr int first_sample_divisor = 3;
/** After this time without an answer to a request that found a free slot, the times of requests that waited
 * are used as samples. */
constexpr core::milliseconds free_slot_valid_for{1000};
/** Weight of one request in the share of requests that found no room. */
constexpr double refusal_sample_weight = 0.03;
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
/** Time for which an estimate stays unchanged without answers. */
constexpr core::milliseconds estimate_valid_for{2000};
/** Time constant of the decay after that time. */
constexpr std::chrono::duration<double> estimate_decay{2.0};

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

service_state::service_state(state::shift_cap cap, core::duration target_latency, const core::clock& time)
    : time_(time), created_(time.now()), latest_answer_(time.now()), demand_(time), regions_(cap, time),
      run_time_(part_of(target_latency, assumed_run_share)),
      familiar_run_time_(part_of(target_latency, assumed_familiar_share)),
      unfamiliar_run_time_(part_of(target_latency, assumed_unfamiliar_share))
{}

core::duration service_state::decayed(core::duration estimate) const
{
    const std::chrono::duration<double> excess_age = time_.now() - latest_answer_ - estimate_valid_for;
    if (excess_age.count() <= 0)
        return estimate;
    return std::chrono::duration_cast<core::duration>(estimate *
                                                      std::exp(-excess_age.count() / estimate_decay.count()));
}

service_state::region_state& service_state::state_in(const core::region_id& region)
{
    return by_region_.try_emplace(region, region_state{run_time_, 0, 0}).first->second;
}

core::duration service_state::run_time_in(const core::region_id& region) const
{
    const auto found = by_region_.find(region);
    return found == by_region_.end() ? run_time_ : found->second.run_time;
}

void service_state::record_room(const core::region_id& region, bool found_room)
{
    auto& share = state_in(region).refused_share;
    share += refusal_sample_weight * ((found_room ? 0.0 : 1.0) - share);
}

double service_state::refused_share(const core::region_id& region) const
{
    const auto found = by_region_.find(region);
    return found == by_region_.end() ? 0 : found->second.refused_share;
}

void service_state::observe_run_time(const core::region_id& region, core::duration taken,
                                     std::optional<bool> familiar)
{
    latest_free_slot_ = time_.now();
    update_run_times(region, taken, familiar);
}

void service_state::observe_waited(const core::region_id& region, core::duration taken,
                                   double expected_wait_runs, std::optional<bool> familiar)
{
    if (time_.now() - latest_free_slot_ < free_slot_valid_for)
        return;
    const auto run_time =
        std::chrono::duration<double, core::duration::period>(taken) / (1 + expected_wait_runs);
    update_run_times(region, std::chrono::duration_cast<core::duration>(run_time), familiar);
}

void service_state::update_run_times(const core::region_id& region, core::duration taken,
                                     std::optional<bool> familiar)
{
    record_answer();
    auto& regional = state_in(region);
    const auto regional_sample =
        std::clamp<core::duration>(taken, min_run_time, regional.run_time * max_sample_multiple);
    regional.run_time += (regional_sample - regional.run_time) / divisor_after(regional.samples);
    regional.samples = std::min(regional.samples + 1, sample_divisor);
    const auto sample = std::clamp<core::duration>(taken, min_run_time, run_time_ * max_sample_multiple);
    run_time_ += (sample - run_time_) / divisor_after(samples_);
    const double step = std::max(quantile_step, 1.0 / divisor_after(samples_));
    samples_ = std::min(samples_ + 1, sample_divisor);
    if (!familiar)
        return;
    if (*familiar)
        track_quantile(familiar_run_time_, sample, familiar_quantile, step);
    else
        track_quantile(unfamiliar_run_time_, sample, unfamiliar_quantile, step);
}

} // namespace knapweed::steering
