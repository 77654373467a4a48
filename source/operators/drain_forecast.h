#pragma once

#include "config.pb.h"
#include "core/core.h"
#include "state/shift_limiter.h"

#include <vector>

namespace knapweed::operators {

/** Estimate of how long a drained data centre continues to receive traffic of one service. */
struct drain_forecast {
    core::service_id service;
    double share = 0; ///< share of the region's traffic that has to move
    state::shift_cap cap;
    core::milliseconds duration{0}; ///< time until the share is 0
};

/** Estimates the shift that a drain of a data centre causes in the data centre's region.

    The share is the data centre's part of the slots in the region's data centres that are not drained;
    without faults the weights are equal to these parts. One move of the size of the cap is possible at once,
    and another one in each window.

    @param configuration the configuration after the change, in which the data centre is drained.
    @returns one forecast for each service that has slots in the data centre. */
[[nodiscard]] std::vector<drain_forecast> forecast_drain(const wire::configuration& configuration,
                                                         const core::data_centre_id& data_centre);

/** @returns the time that a share needs to move under a cap.
    @param used part of the cap that has already been used in the current window. */
[[nodiscard]] core::milliseconds shift_time(double share, const state::shift_cap& cap, double used = 0);

} // namespace knapweed::operators
