#include "steering/cold_start_limiter.h"

#include <algorithm>

namespace knapweed::steering {

namespace {

/** Slightly more than the second over which a cold server's requests are counted, because network delays
 * vary. */
constexpr core::milliseconds min_spacing{1100};

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
    const auto spacing =
        std::chrono::duration_cast<core::duration>(std::chrono::duration<double>(1 / rate_per_instance));
    return std::max<core::duration>(min_spacing, spacing);
}

} // namespace knapweed::steering
