#include "gateway/graceful_shutdown.h"

#include <algorithm>

namespace knapweed::gateway {

namespace {

/** New connections are refused from this long before the end of the grace period. */
constexpr core::milliseconds stop_accepting_before_end{2500};
/** The process exits this long before the end of the grace period, when the platform would kill it. */
constexpr core::milliseconds exit_before_end{400};
/** Part of a short grace period that the process keeps between its exit and the end. */
constexpr int shortest_exit_margin_divisor = 4;
/** Time between the time limit of a request and the exit, in which its answer is written. */
constexpr core::milliseconds delivery_time{200};

} // namespace

void graceful_shutdown::begin(core::duration grace_period)
{
    if (began_)
        return;
    began_ = time_.now();
    grace_period_ = grace_period;
}

core::time_point graceful_shutdown::exit_time() const
{
    const auto margin =
        std::min<core::duration>(exit_before_end, grace_period_ / shortest_exit_margin_divisor);
    return began_.value() + grace_period_ - margin;
}

bool graceful_shutdown::accepts_connections() const
{
    return !began_ || time_.now() < *began_ + grace_period_ - stop_accepting_before_end;
}

std::optional<core::time_point> graceful_shutdown::answers_due() const
{
    return began_ ? std::optional(exit_time() - delivery_time) : std::nullopt;
}

bool graceful_shutdown::is_complete(std::size_t open) const
{
    if (!began_)
        return false;
    return time_.now() >= exit_time() || (!accepts_connections() && open == 0);
}

} // namespace knapweed::gateway
