#pragma once

#include "core/core.h"

namespace knapweed::steering {

/** Estimates the number of arrivals per second as an exponentially decaying mean. */
class arrival_rate {
public:
    /** @param time must outlive this object. */
    explicit arrival_rate(const core::clock& time) : time_(time), updated_(time.now()) {}

    /** Records an arrival now. */
    void record_arrival();
    /** @returns the current estimate. */
    [[nodiscard]] double per_second() const;

private:
    [[nodiscard]] double decayed_rate() const;

    const core::clock& time_;
    core::time_point updated_;
    double rate_ = 0;
};

} // namespace knapweed::steering
