#include "steering/retry_time.h"

#include <algorithm>

namespace knapweed::steering {

namespace {

constexpr core::milliseconds min_retry_after{60};
constexpr core::milliseconds max_retry_after{1000};
/** Random variation, as a part of the time. */
constexpr double spread_share = 0.25;
/** Callers follow a Retry-After of up to a third of the time that they have left. */
constexpr int time_left_divisor = 3;

} // namespace

core::duration retry_time(core::duration wait, core::duration time_left, core::random_source& random)
{
    wait = std::clamp<core::duration>(wait, min_retry_after, max_retry_after);
    wait = std::min<core::duration>(wait, std::max(time_left, core::duration::zero()) / time_left_divisor);
    const double spread = 1 + spread_share * (2 * random.fraction() - 1);
    return std::chrono::duration_cast<core::duration>(wait * spread);
}

} // namespace knapweed::steering
