#pragma once

#include "core/core.h"

namespace knapweed::steering {

/** Estimates how much longer a backend server takes for its answers than expected.

    Without new samples the estimate returns towards 1, so that a server that was slow is tried again.
*/
class speed_estimate {
public:
    /** @param time must outlive this object. */
    explicit speed_estimate(const core::clock& time) : time_(time) {}

    /** Records an answer. @param taken its time. @param expected time, estimated when the request was sent;
     * positive. */
    void observe(core::duration taken, core::duration expected);

    /** @returns the factor by which the server is slower than expected; 1 is normal. */
    [[nodiscard]] double slowness() const;

private:
    const core::clock& time_;
    double slowness_ = 1;
    core::time_point observed_{};
};

} // namespace knapweed::steering
