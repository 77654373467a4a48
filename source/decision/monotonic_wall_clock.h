#pragma once

#include "core/core.h"
#include "decision/ticket.h"

namespace knapweed::decision {

/** Clock whose wall time never goes back or jumps: the wall time at construction plus the steady time since
   then.

    Timestamps and expiry times from one such clock stay comparable even if the time of day is wrong or
   changes.
*/
class monotonic_wall_clock {
public:
    /** @param time must outlive this object. */
    explicit monotonic_wall_clock(const core::clock& time)
        : time_(time), wall_start_(std::chrono::floor<core::milliseconds>(time.wall_now())),
          steady_start_(time.now())
    {}

    [[nodiscard]] unix_time now() const
    {
        return wall_start_ + std::chrono::floor<core::milliseconds>(time_.now() - steady_start_);
    }

    /** @returns the underlying steady time, for timeouts. */
    [[nodiscard]] core::time_point steady_now() const { return time_.now(); }

private:
    const core::clock& time_;
    unix_time wall_start_;
    core::time_point steady_start_;
};

} // namespace knapweed::decision
