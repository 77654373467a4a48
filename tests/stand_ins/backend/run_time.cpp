#include "stand_ins/backend/run_time.h"

#include <cmath>
#include <numbers>

namespace knapweed::stand_ins {

namespace {

/** Draws a random factor with a mean of 1. */
double draw_factor(core::random_source& random, run_distribution distribution, double sigma)
{
    if (distribution == run_distribution::fixed)
        return 1;
    const double radius = -std::log(1.0 - random.fraction());
    if (distribution == run_distribution::exponential)
        return radius;
    const double normal = std::sqrt(2 * radius) * std::cos(2 * std::numbers::pi * random.fraction());
    return std::exp(sigma * normal - sigma * sigma / 2);
}

} // namespace

core::duration draw_run_time(core::random_source& random, run_distribution distribution,
                             core::milliseconds mean, double sigma)
{
    using float_duration = std::chrono::duration<double, core::duration::period>;
    return std::chrono::duration_cast<core::duration>(float_duration{mean} *
                                                      draw_factor(random, distribution, sigma));
}

} // namespace knapweed::stand_ins
