#pragma once

#include "core/core.h"

namespace knapweed::steering {

/** Smoothed number of arrivals per second. */
class arrival_rate {
public:
    /** @param time must outlive this object. */
    explicit arrival_rate(const core::clock& time) : time_(time), updated_(time.now()) {}

    void count();
    [[nodiscard]] double per_second() const;

private:
    [[nodiscard]] double decayed() const;

    const core::clock& time_;
    core::time_point updated_;
    double rate_ = 0;
};

} // namespace knapweed::steering
