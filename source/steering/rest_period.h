#pragma once

#include "core/core.h"

#include <optional>

namespace knapweed::steering {

/** The time for which a backend server that turned a request of this instance away wants none of them.

    After it one request is sent as a trial. Others follow when the trial has ended, so that a server that is
   still overloaded turns away only one.
*/
class rest_period {
public:
    /** @param time must outlive this object. */
    explicit rest_period(const core::clock& time) : time_(time) {}

    /** Begins or extends a rest that ends at @p end; it is never shortened. */
    void extend_to(core::time_point end);
    /** @returns when the latest rest ends or ended, nothing if there was none. */
    [[nodiscard]] std::optional<core::time_point> end() const noexcept { return end_; }
    /** @returns the time until the rest ends, 0 when there is none. */
    [[nodiscard]] core::duration remaining() const;

    /** @returns the time until a request may be sent, 0 for now. */
    [[nodiscard]] core::duration wait() const;
    void request_sent();
    /** Records that a request ended without being turned away with a time of rest. */
    void request_ended();

private:
    const core::clock& time_;
    std::optional<core::time_point> end_;
    bool needs_trial_ = false;
    std::optional<core::time_point> trial_sent_;
};

} // namespace knapweed::steering
