#pragma once

#include "core/clock.h"

#include <deque>
#include <utility>

namespace knapweed::stand_ins {

/** Value whose changes become visible to readers only after a lag. */
template <typename Value>
class lagged_value {
public:
    lagged_value(const core::clock& clock, core::duration lag, Value initial)
        : clock_(&clock), lag_(lag), visible_(std::move(initial))
    {}

    void set(Value value)
    {
        read();
        pending_.emplace_back(clock_->now() + lag_, std::move(value));
    }

    /** @returns the value as it was one lag ago. */
    const Value& read()
    {
        while (!pending_.empty() && pending_.front().first <= clock_->now()) {
            visible_ = std::move(pending_.front().second);
            pending_.pop_front();
        }
        return visible_;
    }

private:
    const core::clock* clock_;
    core::duration lag_;
    Value visible_;
    std::deque<std::pair<core::time_point, Value>> pending_;
};

} // namespace knapweed::stand_ins
