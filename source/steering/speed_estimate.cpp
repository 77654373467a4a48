#include "steering/speed_estimate.h"

#include <algorithm>
#include <cmath>

namespace knapweed::steering {

namespace {

/** Weight of a new sample; a server that becomes slow is detected after a few answers. */
constexpr double sample_weight = 0.3;
/** Samples are limited so that one stalled answer does not exclude a server for long. */
constexpr double max_sample = 8;
constexpr double min_sample = 0.5;
/** Time constant of the return to 1 without samples. */
constexpr std::chrono::duration<double> slowness_decay{3.0};
/** Up to this factor a server counts as normal, since run times vary. */
constexpr double max_normal_slowness = 1.25;

} // namespace

void speed_estimate::observe(core::duration taken, core::duration expected)
{
    const double ratio = std::chrono::duration<double>(taken) / std::chrono::duration<double>(expected);
    const double previous = slowness_;
    slowness_ = previous + sample_weight * (std::clamp(ratio, min_sample, max_sample) - previous);
    observed_ = time_.now();
}

double speed_estimate::slowness() const
{
    const std::chrono::duration<double> age = time_.now() - observed_;
    const double current = 1 + (slowness_ - 1) * std::exp(-age.count() / slowness_decay.count());
    return current < max_normal_slowness ? 1 : current;
}

} // namespace knapweed::steering
