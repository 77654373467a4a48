#include "admission/timeliness.h"

#include <algorithm>
#include <cmath>

namespace knapweed::admission {

namespace {

/** Standard deviation of run times, as a part of the expected one. */
constexpr double run_time_deviation = 0.2;
/** The logistic function with this slope is close to the normal distribution. */
constexpr double logistic_slope = 1.7;

} // namespace

double chance_in_time(core::duration run_time, core::duration delay, core::duration time_to_target)
{
    const std::chrono::duration<double> deviation =
        run_time_deviation *
        std::chrono::duration<double>(std::max<core::duration>(run_time, core::milliseconds(1)));
    const std::chrono::duration<double> reserve = time_to_target - delay - run_time;
    return 1 / (1 + std::exp(-logistic_slope * (reserve / deviation)));
}

} // namespace knapweed::admission
