#pragma once

#include "core/clock.h"

namespace knapweed::core {

/** The clock of the operating system. */
class system_clock final : public clock {
public:
    [[nodiscard]] time_point now() const override { return std::chrono::steady_clock::now(); }
    [[nodiscard]] wall_time wall_now() const override { return std::chrono::system_clock::now(); }
};

} // namespace knapweed::core
