#include "steering/rest_period.h"

#include <algorithm>

namespace knapweed::steering {

namespace {

/** A trial without a result after this time is followed by another one; its caller may have left. */
constexpr core::milliseconds max_trial_time{1000};

} // namespace

void rest_period::extend_to(core::time_point end)
{
    if (end <= time_.now())
        return;
    end_ = std::max(end_.value_or(end), end);
    needs_trial_ = true;
    trial_sent_.reset();
}

core::duration rest_period::remaining() const
{
    return end_ ? std::max(*end_ - time_.now(), core::duration::zero()) : core::duration::zero();
}

core::duration rest_period::wait() const
{
    if (const auto rest = remaining(); rest > core::duration::zero() || !trial_sent_)
        return rest;
    return std::max<core::duration>(*trial_sent_ + max_trial_time - time_.now(), core::duration::zero());
}

void rest_period::request_sent()
{
    if (needs_trial_ && remaining() == core::duration::zero())
        trial_sent_ = time_.now();
}

void rest_period::request_ended()
{
    if (!trial_sent_)
        return;
    needs_trial_ = false;
    trial_sent_.reset();
}

} // namespace knapweed::steering
