#include "steering/service_state.h"

#include <cmath>

namespace knapweed::steering {

namespace {

/** A sample moves the mean by one part in this many of the difference; the first samples move it further. */
constexpr int sample_divisor = 24;
constexpr int first_sample_divisor = 3;
/** After this time without a free slot, the times of requests that waited are learnt from. */
constexpr core::milliseconds free_slot_memory{1000};
/** Weight of one request in the part that found no room. */
constexpr double room_weight = 0.03;
/** Run times at familiar and unfamiliar servers are tracked as quantiles: a server may have dropped an object
   that counts as familiar, and another instance may have sent it one that counts as unfamiliar. */
constexpr double familiar_quantile = 0.25;
constexpr double unfamiliar_quantile = 0.7;
/** Part of the estimate by which one sample can move a quantile. */
constexpr double quantile_step = 0.08;
/** A sample counts for at most this multiple of the estimate: slow servers are judged one by one. */
constexpr int largest_multiple = 3;
constexpr core::milliseconds shortest_run{1};
/** An estimate stands for this time without answers. */
constexpr core::milliseconds confirmed_for{2000};
/** Time constant with which it fades afterwards. */
constexpr std::chrono::duration<double> fading{2.0};

/** Moves an estimate so that it settles where the given part of the samples lies below it. */
void track_quantile(core::duration& estimate, core::duration sample, double quantile, double step)
{
    const double part = sample > estimate ? quantile : quantile - 1;
    estimate += std::chrono::duration_cast<core::duration>(estimate * (step * part));
}

int divisor_after(int samples)
{
    return std::min(sample_divisor, first_sample_divisor + samples);
}

} // namespace

core::duration service_state::faded(core::duration estimate) const
{
    const std::chrono::duration<double> unconfirmed = time_.now() - answered_ - confirmed_for;
    if (unconfirmed.count() <= 0)
        return estimate;
    return std::chrono::duration_cast<core::duration>(estimate *
                                                      std::exp(-unconfirmed.count() / fading.count()));
}

service_state::region_state& service_state::in(const core::region_id& region)
{
    return by_region_.try_emplace(region, region_state{run_time_, 0, 0}).first->second;
}

core::duration service_state::run_time_in(const core::region_id& region) const
{
    const auto found = by_region_.find(region);
    return found == by_region_.end() ? run_time_ : found->second.run_time;
}

void service_state::observe_room(const core::region_id& region, bool found)
{
    auto& share = in(region).refused_share;
    share += room_weight * ((found ? 0.0 : 1.0) - share);
}

double service_state::refused_share(const core::region_id& region) const
{
    const auto found = by_region_.find(region);
    return found == by_region_.end() ? 0 : found->second.refused_share;
}

void service_state::observe_run_time(const core::region_id& region, core::duration taken,
                                     std::optional<bool> familiar)
{
    found_free_slot_ = time_.now();
    learn(region, taken, familiar);
}

void service_state::observe_waited(const core::region_id& region, core::duration taken, double waited_runs,
                                   std::optional<bool> familiar)
{
    if (time_.now() - found_free_slot_ < free_slot_memory)
        return;
    const auto run = std::chrono::duration<double, core::duration::period>(taken) / (1 + waited_runs);
    learn(region, std::chrono::duration_cast<core::duration>(run), familiar);
}

void service_state::learn(const core::region_id& region, core::duration taken, std::optional<bool> familiar)
{
    confirm();
    auto& here = in(region);
    const auto regional = std::clamp<core::duration>(taken, shortest_run, here.run_time * largest_multiple);
    here.run_time += (regional - here.run_time) / divisor_after(here.samples);
    here.samples = std::min(here.samples + 1, sample_divisor);
    const auto sample = std::clamp<core::duration>(taken, shortest_run, run_time_ * largest_multiple);
    run_time_ += (sample - run_time_) / divisor_after(samples_);
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
