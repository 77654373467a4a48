#pragma once

#include "admission/admission.h"
#include "state/shift_limiter.h"
#include "steering/arrival_rate.h"
#include "steering/region_exchange.h"
#include "steering/run_time_estimate.h"

#include <algorithm>
#include <map>
#include <optional>

namespace knapweed::steering {

/** This instance's estimates for one service: demand, run times, and the shares of its regions. */
class service_state {
public:
    /** @param target_latency of the service's requests, from which the run times are estimated until the
       first answers. @param time must outlive this object. */
    service_state(state::shift_cap cap, core::duration target_latency, const core::clock& time);

    /** @returns the time since the first request for the service. */
    [[nodiscard]] core::duration age() const { return time_.now() - created_; }

    [[nodiscard]] arrival_rate& demand() noexcept { return demand_; }
    [[nodiscard]] const arrival_rate& demand() const noexcept { return demand_; }
    [[nodiscard]] state::region_shift_limiter& regions() noexcept { return regions_; }
    [[nodiscard]] region_exchange& exchange() noexcept { return exchange_; }
    /** @returns the region other than @p own to which the plan sends most requests, empty when there is none.
     */
    [[nodiscard]] core::region_id busiest_other_region(const core::region_id& own) const;

    /** Records how likely a request is in time near and in another region. */
    void record_timeliness(double near, double far);
    /** @returns how likely the service's requests are in time in another region, as a part of the same near,
       0 to 1. */
    [[nodiscard]] double timely_far_share() const;

    /** @returns the mean run time of a request at a server with a free slot, over all regions. */
    [[nodiscard]] core::duration run_time() const { return decayed(run_times_.mean()); }
    /** @returns the mean run time in one region. Regions differ: where few servers share many objects, more
     * requests have to fetch theirs. */
    [[nodiscard]] core::duration run_time_in(const core::region_id& region) const;
    /** Records an answer without a run time, since the request may have waited. */
    void record_answer() { latest_answer_ = time_.now(); }
    /** Records whether a request that was planned for a region found room there. */
    void record_room(const core::region_id& region, bool found_room);
    /** @returns the share of the recent requests planned for a region that found no room there, 0 to 1. */
    [[nodiscard]] double refused_share(const core::region_id& region) const;
    /** @returns the expected run time at a server that has cached the request's object. */
    [[nodiscard]] core::duration familiar_run_time() const { return decayed(run_times_.familiar()); }
    /** @returns the expected run time at a server that has to fetch the object first. */
    [[nodiscard]] core::duration unfamiliar_run_time() const { return decayed(run_times_.unfamiliar()); }
    /** @returns an estimate of a run time of the service, reduced while no answers arrive. Otherwise an
       estimate above a route's time limit would cause every request to be refused and never be corrected. */
    [[nodiscard]] core::duration decayed(core::duration estimate) const;
    /** Records the time of a request that did not wait for a slot.
        @param taken without the round trip. @param familiar whether the server had probably cached the
        object; nothing for a request without an object. */
    void observe_run_time(const core::region_id& region, core::duration taken, std::optional<bool> familiar);
    /** Records the time of a request that waited for a slot. It is used only while no request finds a free
        slot. Without these samples, an estimate that is too low would fill all queues and never be corrected.
        @param expected_wait_runs expected wait before the run, as a multiple of the run time.
        @returns the run time, if the time is used. */
    std::optional<core::duration> observe_waited(const core::region_id& region, core::duration taken,
                                                 double expected_wait_runs, std::optional<bool> familiar);

private:
    /** Estimates for one region. */
    struct region_state {
        core::duration run_time;
        int samples = 0;
        double refused_share = 0;
    };

    [[nodiscard]] region_state& state_in(const core::region_id& region);
    void update_run_times(const core::region_id& region, core::duration taken, std::optional<bool> familiar);
    const core::clock& time_;
    core::time_point created_;
    core::time_point latest_answer_;
    core::time_point latest_free_slot_{}; ///< latest answer to a request that did not wait for a slot
    arrival_rate demand_;
    state::region_shift_limiter regions_;
    region_exchange exchange_;
    double timely_near_ = 0; ///< moving means of the probabilities that requests are in time
    double timely_far_ = 0;
    std::map<core::region_id, region_state> by_region_;
    run_time_estimate run_times_; ///< over all regions and routes
};

} // namespace knapweed::steering
