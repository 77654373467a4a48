#include "steering/named_limit.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace knapweed::steering {

namespace {

/** Part of the time between two requests that may be made up for when the one before came late. */
constexpr double made_up_share = 0.5;

core::duration spacing(double share)
{
    return std::chrono::duration_cast<core::duration>(std::chrono::duration<double>(1 / share));
}

} // namespace

bool named_limit::set(std::optional<double> per_second, core::time_point when, bool first_hand)
{
    stated_at_ = when;
    first_hand_ = first_hand;
    return std::exchange(per_second_, per_second) != per_second;
}

bool named_limit::heard(std::optional<double> per_second)
{
    if (!stated_at_ && !per_second)
        return false;
    return set(per_second, time_.now(), true);
}

bool named_limit::told(std::optional<double> per_second, core::time_point when)
{
    const bool is_older = stated_at_ && when <= *stated_at_;
    return !is_older && set(per_second, when, false);
}

std::optional<core::duration> named_limit::age() const
{
    return stated_at_ ? std::optional(time_.now() - *stated_at_) : std::nullopt;
}

core::duration named_limit::wait(double share, bool yields) const
{
    if (share <= 0)
        return core::duration::max();
    auto earliest = next_send_;
    if (yields)
        earliest += std::chrono::duration_cast<core::duration>(spacing(share) * made_up_share);
    return std::max(earliest - time_.now(), core::duration::zero());
}

void named_limit::request_sent(double share)
{
    if (share <= 0)
        return;
    const auto made_up = std::chrono::duration_cast<core::duration>(spacing(share) * made_up_share);
    next_send_ = std::max(next_send_, time_.now() - made_up) + spacing(share);
}

double named_limit::max_requests(double share, double seconds)
{
    return share > 0 ? std::floor(share * seconds + made_up_share) + 1 : 0;
}

} // namespace knapweed::steering
