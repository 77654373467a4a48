#pragma once

#include "core/core.h"

namespace knapweed::accounts {

/** Exponentially weighted rate of events. It takes no clock, because many of them are updated at one time. */
class event_rate {
public:
    explicit event_rate(core::duration time_constant) : time_constant_(time_constant) {}

    void record() noexcept { ++events_; }
    /** Takes in the events since the last call. @param elapsed time since that call; positive. */
    void update(core::duration elapsed);
    /** @returns the events per second at the last update. */
    [[nodiscard]] double per_second() const noexcept { return per_second_; }

private:
    core::duration time_constant_;
    double per_second_ = 0;
    unsigned events_ = 0; ///< since the last update
};

} // namespace knapweed::accounts
