#pragma once

#include "core/core.h"

namespace knapweed::steering {

/** Records failures of one backend server and suspends the server after several consecutive ones.

    Each further failure doubles the suspension, up to a limit. Afterwards the server receives real requests
   again. Probes are not used, since each costs a slot and is less meaningful than a request.
*/
class failure_tracker {
public:
    /** @param time must outlive this object. */
    explicit failure_tracker(const core::clock& time) : time_(time) {}

    void record_success();
    /** Records that a request failed at the server, or that its answer was lost or invalid. */
    void record_failure();
    /** Records that no connection could be opened, and suspends the server at once. */
    void record_unreachable();

    [[nodiscard]] bool is_suspended() const { return time_.now() < suspended_until_; }
    /** @returns the recent share of failures, 0 to 1. */
    [[nodiscard]] double failure_share() const noexcept { return failure_share_; }

private:
    void suspend();

    const core::clock& time_;
    double failure_share_ = 0;
    unsigned consecutive_failures_ = 0;
    unsigned suspensions_ = 0; ///< since the latest success
    core::time_point suspended_until_{};
};

} // namespace knapweed::steering
