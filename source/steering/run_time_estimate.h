#pragma once

#include "core/core.h"

#include <algorithm>
#include <optional>

namespace knapweed::steering {

/** Estimates how long servers with a free slot take to run requests of one kind. */
class run_time_estimate {
public:
    /** @param target_latency of the requests, from which the run times follow until the first samples. */
    explicit run_time_estimate(core::duration target_latency);

    /** @returns the mean run time. */
    [[nodiscard]] core::duration mean() const noexcept { return mean_; }
    /** @returns the expected run time at a server that has cached the request's object. */
    [[nodiscard]] core::duration familiar() const noexcept { return familiar_; }
    /** @returns the expected run time at a server that has to fetch the object first. */
    [[nodiscard]] core::duration unfamiliar() const noexcept { return std::max(familiar_, unfamiliar_); }

    /** Records a run. @param familiar whether the server had probably cached the object; nothing for a
       request without an object. */
    void observe(core::duration taken, std::optional<bool> familiar);

private:
    int samples_ = 0; ///< recorded so far, up to a few dozen
    core::duration mean_;
    core::duration familiar_;
    core::duration unfamiliar_;
};

} // namespace knapweed::steering
