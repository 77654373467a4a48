#include "steering/failure_tracker.h"

#include <algorithm>

namespace knapweed::steering {

namespace {

/** Failures in a row that suspend a server; fewer may belong to the requests. */
constexpr unsigned failures_to_suspend = 3;
constexpr core::milliseconds first_suspension{400};
/** Also bounds how long a server that has recovered stays unused. */
constexpr core::milliseconds longest_suspension{3000};
constexpr unsigned largest_doubling = 3;
/** Weight of the latest result in the share of failures. */
constexpr double result_weight = 0.15;

} // namespace

void failure_tracker::record_success()
{
    consecutive_ = 0;
    suspensions_ = 0;
    failure_share_ -= result_weight * failure_share_;
}

void failure_tracker::record_failure()
{
    ++consecutive_;
    failure_share_ += result_weight * (1 - failure_share_);
    if (consecutive_ >= failures_to_suspend)
        suspend();
}

void failure_tracker::record_unreachable()
{
    ++consecutive_;
    suspend();
}

void failure_tracker::suspend()
{
    const core::duration length = first_suspension * (1U << std::min(suspensions_, largest_doubling));
    suspended_until_ = time_.now() + std::min<core::duration>(length, longest_suspension);
    ++suspensions_;
}

} // namespace knapweed::steering
