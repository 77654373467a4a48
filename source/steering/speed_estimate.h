#pragma once

#include "core/core.h"

namespace knapweed::steering {

/** How much longer a backend server takes than was expected of it.

    Without new samples the estimate returns towards 1, so that a server that was slow is tried again.
*/
class speed_estimate {
public:
    /** @param time must outlive this object. */
    explicit speed_estimate(const core::clock& time) : time_(time) {}

    /** @param taken time of an answer. @param expected when it was sent; positive. */
    void observe(core::duration taken, core::duration expected);

    /** @returns the factor by which the server is slower than expected; 1 is normal. */
    [[nodiscard]] double slowness() const;

private:
    const core::clock& time_;
    double slowness_ = 1;
    core::time_point observed_{};
};

} // namespace knapweed::steering
