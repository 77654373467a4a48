#pragma once

#include "decision/retry_budget.h"

namespace knapweed::steering {

/** This instance's share of the retries that all instances together may send for each service.

    Requests carry no caller identity here, so each service has one budget for all callers.
*/
class retry_allowance {
public:
    /** @param ratio part of a service's requests that all instances together may retry. @param extra retries
        that they may send beyond it in a window. @param time must outlive this object. */
    retry_allowance(double ratio, double extra, const core::clock& time);

    void request_received(const core::service_id& service);
    /** @returns whether a request for the service may be retried; then the retry is charged. */
    [[nodiscard]] bool take(const core::service_id& service);
    /** Sets the share for the number of instances, this one included. */
    void set_instances(std::size_t instances);

private:
    double extra_;
    decision::retry_budget budget_;
};

} // namespace knapweed::steering
