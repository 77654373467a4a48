#include "steering/service_state.h"

#include <cmath>

namespace knapweed::steering {

namespace {

/** A sample moves the mean of a region by the difference divided by this; the first samples use smaller
 * divisors. */
constexpr int sample_divisor = 24;
constexpr int first_sample_divisor = 3;
/** After this time without an answer to a request that found a free slot, the times of requests that waited
 * are used as samples. */
constexpr core::milliseconds free_slot_valid_for{1000};
/** Weight of one request in the share of requests that found no room. */
constexpr double refusal_sample_weight = 0.03;
/** Weight of one request in the probabilities that requests are in time. */
constexpr double timeliness_weight = 0.02;
/** Samples are limited to this multiple of the estimate, since slow servers are handled by their own
   `speed_estimate`. */
constexpr int max_sample_multiple = 3;
constexpr core::milliseconds min_run_time{1};
/** Time for which an estimate stays unchanged without answers. */
constexpr core::milliseconds estimate_valid_for{2000};
/** Time constant of the decay after that time. */
constexpr std::chrono::duration<double> estimate_decay{2.0};

} // namespace

service_state::service_state(state::shift_cap cap, core::duration target_latency, const core::clock& time)
    : time_(time), created_(time.now()), latest_answer_(time.now()), demand_(time), regions_(cap, time),
      run_times_(target_latency)
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
    return by_region_.try_emplace(region, region_state{run_times_.mean(), 0, 0}).first->second;
}

core::duration service_state::run_time_in(const core::region_id& region) const
{
    const auto found = by_region_.find(region);
    return found == by_region_.end() ? run_times_.mean() : found->second.run_time;
}

core::region_id service_state::busiest_other_region(const core::region_id& own) const
{
    core::region_id busiest;
    double largest = 0;
    for (const auto& [region, weight] : regions_.weights()) {
        if (region != own && weight > largest) {
            busiest = region;
            largest = weight;
        }
    }
    return busiest;
}

void service_state::record_timeliness(double near, double far)
{
    timely_near_ += timeliness_weight * (near - timely_near_);
    timely_far_ += timeliness_weight * (far - timely_far_);
}

double service_state::timely_far_share() const
{
    return timely_near_ <= 0 ? 0 : std::min(1.0, timely_far_ / timely_near_);
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

std::optional<core::duration> service_state::observe_waited(const core::region_id& region,
                                                            core::duration taken, double expected_wait_runs,
                                                            std::optional<bool> familiar)
{
    if (time_.now() - latest_free_slot_ < free_slot_valid_for)
        return std::nullopt;
    const auto run_time = std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double, core::duration::period>(taken) / (1 + expected_wait_runs));
    update_run_times(region, run_time, familiar);
    return run_time;
}

void service_state::update_run_times(const core::region_id& region, core::duration taken,
                                     std::optional<bool> familiar)
{
    record_answer();
    auto& regional = state_in(region);
    const auto sample =
        std::clamp<core::duration>(taken, min_run_time, regional.run_time * max_sample_multiple);
    regional.run_time +=
        (sample - regional.run_time) / std::min(sample_divisor, first_sample_divisor + regional.samples);
    regional.samples = std::min(regional.samples + 1, sample_divisor);
    run_times_.observe(taken, familiar);
}

} // namespace knapweed::steering
