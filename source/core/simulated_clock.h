#pragma once

#include "core/clock.h"

namespace knapweed::core {

/** A clock that moves only when `advance` is called; for tests, benchmarks and simulations. */
class simulated_clock final : public clock {
public:
    [[nodiscard]] time_point now() const override { return now_; }
    [[nodiscard]] wall_time wall_now() const override { return wall_now_; }

    void advance(duration step)
    {
        now_ += step;
        wall_now_ += std::chrono::duration_cast<wall_time::duration>(step);
    }

private:
    time_point now_{std::chrono::hours{1}};
    wall_time wall_now_{std::chrono::hours{24 * 365 * 50}};
};

} // namespace knapweed::core
