#include "steering/cold_start_limiter.h"

#include <algorithm>

namespace knapweed::steering {

namespace {

/** Slightly more than the second over which a cold server's requests are counted, for delays on the way. */
constexpr core::milliseconds least_spacing{1100};

} // namespace

void cold_start_limiter::assume_cold(core::duration left)
{
    cold_until_ = std::max(cold_until_, time_.now() + left);
}

void cold_start_limiter::set_remaining_cold_time(core::duration left)
{
    cold_until_ = time_.now() + left;
}

bool cold_start_limiter::may_start(core::duration spacing) const
{
    return !is_cold() || !last_start_ || time_.now() - *last_start_ >= spacing;
}

core::duration cold_start_spacing(double requests_per_second, std::size_t instances)
{
    const double each = requests_per_second / static_cast<double>(std::max<std::size_t>(instances, 1));
    if (each <= 0)
        return least_spacing;
    const auto fair = std::chrono::duration_cast<core::duration>(std::chrono::duration<double>(1 / each));
    return std::max<core::duration>(least_spacing, fair);
}

} // namespace knapweed::steering
