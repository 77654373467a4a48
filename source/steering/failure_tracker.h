#pragma once

#include "core/core.h"

namespace knapweed::steering {

/** Remembers failures of one backend server and suspends it after several in a row.

    A suspension doubles with each further failure. After it the server is tried again with real requests:
    probes cost the servers a slot and say less than a request does.
*/
class failure_tracker {
public:
    /** @param time must outlive this object. */
    explicit failure_tracker(const core::clock& time) : time_(time) {}

    void record_success();
    /** A request failed at the server, or its answer was lost or spoiled. */
    void record_failure();
    /** No connection could be made: suspends the server at once. */
    void record_unreachable();

    [[nodiscard]] bool is_suspended() const { return time_.now() < suspended_until_; }
    /** @returns the recent share of failures, 0 to 1. */
    [[nodiscard]] double failure_share() const noexcept { return failure_share_; }

private:
    void suspend();

    const core::clock& time_;
    double failure_share_ = 0;
    unsigned consecutive_ = 0;
    unsigned suspensions_ = 0;
    core::time_point suspended_until_{};
};

} // namespace knapweed::steering
