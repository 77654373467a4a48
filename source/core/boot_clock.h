#pragma once

#include "core/clock.h"

#include <ctime>

namespace knapweed::core {

/** Steady clock that also advances while the host is suspended.

    `std::chrono::steady_clock` does not advance during a suspension, so the age of an idle connection, of a
    request or of what is known about other processes would be underestimated afterwards.
*/
class boot_clock final : public clock {
public:
    [[nodiscard]] time_point now() const override
    {
        std::timespec time{};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }
    [[nodiscard]] wall_time wall_now() const override { return std::chrono::system_clock::now(); }
};

} // namespace knapweed::core
