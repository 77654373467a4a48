#include "steering/retry_allowance.h"

#include <algorithm>

namespace knapweed::steering {

namespace {

/** Part of the ratio that each instance may use for its own requests. The other half covers windows that
   begin between a request and its retry. */
constexpr double usable_ratio = 0.5;
/** Part of the extra retries that is divided among the instances. */
constexpr double usable_extra = 0.9;
/** Upper limit of the retries that an instance may send at once for a service. */
constexpr unsigned max_burst = 3;
constexpr double tenths_per_unit = 10;

const core::caller_id all_callers{"all"};

decision::retry_budget_options make_options(double ratio)
{
    decision::retry_budget_options options;
    options.tenths_per_request = static_cast<unsigned>(ratio * usable_ratio * tenths_per_unit);
    options.burst = max_burst;
    options.buckets = 1000;
    return options;
}

} // namespace

retry_allowance::retry_allowance(double ratio, double extra, const core::clock& time)
    : extra_(extra), budget_(make_options(ratio), time)
{}

void retry_allowance::request_received(const core::service_id& service)
{
    budget_.request_received(all_callers, service);
}

bool retry_allowance::take(const core::service_id& service)
{
    return budget_.take(all_callers, service);
}

void retry_allowance::set_instances(std::size_t instances)
{
    const double share = extra_ * usable_extra / static_cast<double>(instances);
    budget_.set_burst(std::clamp(static_cast<unsigned>(share), 1U, max_burst));
}

} // namespace knapweed::steering
