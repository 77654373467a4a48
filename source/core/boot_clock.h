#pragma once

#include "core/clock.h"

#include <ctime>

namespace knapweed::core {

/** Steady time that also counts while the host is suspended.

    `std::chrono::steady_clock` stands still during a suspension. A belief, an idle connection or a request
    that is measured with it would look younger afterwards than it is.
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
