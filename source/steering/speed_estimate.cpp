#include "steering/speed_estimate.h"

#include <algorithm>
#include <cmath>

namespace knapweed::steering {

namespace {

/** Weight of a new sample; a server that turns slow is recognised after a few answers. */
constexpr double sample_weight = 0.3;
/** One stalled answer must not exclude a server for long. */
constexpr double largest_sample = 8;
constexpr double smallest_sample = 0.5;
/** Time constant of the return to 1 without samples. */
constexpr std::chrono::duration<double> forget_time{3.0};
/** Run times vary; up to this factor a server counts as normal. */
constexpr double normal_slowness = 1.25;

} // namespace

void speed_estimate::observe(core::duration taken, core::duration expected)
{
    const double ratio = std::chrono::duration<double>(taken) / std::chrono::duration<double>(expected);
    const double before = slowness_;
    slowness_ = before + sample_weight * (std::clamp(ratio, smallest_sample, largest_sample) - before);
    observed_ = time_.now();
}

double speed_estimate::slowness() const
{
    const std::chrono::duration<double> age = time_.now() - observed_;
    const double now = 1 + (slowness_ - 1) * std::exp(-age.count() / forget_time.count());
    return now < normal_slowness ? 1 : now;
}

} // namespace knapweed::steering
