#pragma once

#include "state/shift_limiter.h"
#include "steering/arrival_rate.h"

namespace knapweed::steering {

/** What this instance knows of one service as a whole. */
class service_state {
public:
    /** @param time must outlive this object. */
    service_state(state::shift_cap cap, const core::clock& time)
        : time_(time), created_(time.now()), demand_(time), regions_(cap, time)
    {}

    /** @returns the time since the first request for the service. */
    [[nodiscard]] core::duration age() const { return time_.now() - created_; }

    [[nodiscard]] arrival_rate& demand() noexcept { return demand_; }
    [[nodiscard]] const arrival_rate& demand() const noexcept { return demand_; }
    [[nodiscard]] state::region_shift_limiter& regions() noexcept { return regions_; }

    /** @returns the expected time of a request at a server with a free slot. */
    [[nodiscard]] core::duration run_time() const noexcept { return run_time_; }
    /** @param taken time of a request that did not wait, without the round trip. */
    void observe_run_time(core::duration taken);

private:
    const core::clock& time_;
    core::time_point created_;
    arrival_rate demand_;
    state::region_shift_limiter regions_;
    core::duration run_time_ = core::milliseconds(200); ///< until the first answers
};

} // namespace knapweed::steering
