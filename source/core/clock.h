#pragma once

#include <chrono>

namespace knapweed::core {

using std::chrono::milliseconds;
using duration = std::chrono::steady_clock::duration;
using time_point = std::chrono::steady_clock::time_point;
using wall_time = std::chrono::system_clock::time_point;

/** Source of time. Code that makes decisions reads time only through this interface, so that tests control
    it. */
class clock {
public:
    clock() = default;
    clock(const clock&) = delete;
    clock& operator=(const clock&) = delete;
    virtual ~clock() = default;

    /** @returns a monotonic time; valid within this process. */
    [[nodiscard]] virtual time_point now() const = 0;

    /** @returns the time of day; may be wrong by seconds and may jump. */
    [[nodiscard]] virtual wall_time wall_now() const = 0;
};

} // namespace knapweed::core
