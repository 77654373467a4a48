#include "steering/cold_start_limiter.h"

#include <algorithm>

namespace knapweed::steering {

namespace {

/** Slightly more than the second over which a cold server's requests are counted, because network delays
 * vary. */
constexpr core::milliseconds min_spacing{1100};
constexpr std::chrono::hours max_spacing{24};

} // namespace

void cold_start_limiter::assume_cold(core::duration duration)
{
    cold_until_ = std::max(cold_until_, time_.now() + duration);
}

void cold_start_limiter::set_remaining_cold_time(core::duration remaining)
{
    cold_until_ = time_.now() + remaining;
}

bool cold_start_limiter::may_start(core::duration spacing) const
{
    return !is_cold() || !last_start_ || time_.now() - *last_start_ >= spacing;
}

core::duration cold_start_spacing(double requests_per_second, std::size_t instances)
{
    const double rate_per_instance =
        requests_per_second / static_cast<double>(std::max<std::size_t>(instances, 1));
    if (rate_per_instance <= 0)
        return min_spacing;
    const std::chrono::duration<double> spacing(1 / rate_per_instance);
    return std::chrono::duration_cast<core::duration>(
        std::clamp<std::chrono::duration<double>>(spacing, min_spacing, max_spacing));
}

} // namespace knapweed::steering
