#pragma once

#include "core/core.h"
#include "core/simulated_clock.h"

#include <functional>
#include <map>

namespace knapweed::matrix {

/** The simulated clock of a cell and the events that are scheduled on it.
    Events of the same time run in the order in which they were scheduled. */
class event_queue {
public:
    /** Schedules @p action to run once, @p delay from now. */
    void after(core::milliseconds delay, std::function<void()> action)
    {
        events_.emplace(std::pair{clock_.now() + delay, next_sequence_++}, std::move(action));
    }

    /** Runs the due events in order of time until @p duration has passed or @p finished returns true.
        @p finished is evaluated before each event. */
    void run(core::milliseconds duration, const std::function<bool()>& finished = {})
    {
        const auto end_time = clock_.now() + duration;
        while (!events_.empty() && events_.begin()->first.first <= end_time) {
            if (finished && finished())
                return;
            auto event = events_.extract(events_.begin());
            clock_.advance(event.key().first - clock_.now());
            event.mapped()();
        }
        clock_.advance(end_time - clock_.now());
    }

    [[nodiscard]] const core::simulated_clock& clock() const { return clock_; }
    [[nodiscard]] core::time_point now() const { return clock_.now(); }

private:
    core::simulated_clock clock_;
    std::uint64_t next_sequence_ = 0;
    std::map<std::pair<core::time_point, std::uint64_t>, std::function<void()>> events_;
};

} // namespace knapweed::matrix
