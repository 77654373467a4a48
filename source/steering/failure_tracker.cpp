#include "steering/failure_tracker.h"

#include <algorithm>

namespace knapweed::steering {

namespace {

/** Number of consecutive failures that suspends a server; fewer may be caused by the requests. */
constexpr unsigned failures_to_suspend = 3;
constexpr core::milliseconds first_suspension{400};
/** This also limits how long a server that has recovered stays unused. */
constexpr core::milliseconds max_suspension{3000};
constexpr unsigned max_doublings = 3;
/** Weight of the latest result in the share of failures. */
constexpr double result_weight = 0.15;

} // namespace

void failure_tracker::record_success()
{
    consecutive_failures_ = 0;
    suspensions_ = 0;
    failure_share_ -= result_weight * failure_share_;
}

void failure_tracker::record_failure()
{
    ++consecutive_failures_;
    failure_share_ += result_weight * (1 - failure_share_);
    if (consecutive_failures_ >= failures_to_suspend)
        suspend();
}

void failure_tracker::record_unreachable()
{
    ++consecutive_failures_;
    suspend();
}

void failure_tracker::suspend()
{
    const core::duration suspension = first_suspension * (1U << std::min(suspensions_, max_doublings));
    suspended_until_ = time_.now() + std::min<core::duration>(suspension, max_suspension);
    ++suspensions_;
}

} // namespace knapweed::steering
