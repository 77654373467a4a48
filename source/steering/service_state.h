#pragma once

#include "state/shift_limiter.h"
#include "steering/arrival_rate.h"

#include <algorithm>
#include <map>
#include <optional>

namespace knapweed::steering {

/** What this instance knows of one service as a whole. */
class service_state {
public:
    /** @param time must outlive this object. */
    service_state(state::shift_cap cap, const core::clock& time)
        : time_(time), created_(time.now()), answered_(time.now()), demand_(time), regions_(cap, time)
    {}

    /** @returns the time since the first request for the service. */
    [[nodiscard]] core::duration age() const { return time_.now() - created_; }

    [[nodiscard]] arrival_rate& demand() noexcept { return demand_; }
    [[nodiscard]] const arrival_rate& demand() const noexcept { return demand_; }
    [[nodiscard]] state::region_shift_limiter& regions() noexcept { return regions_; }

    /** @returns the mean time of a request at a server with a free slot, over all regions. */
    [[nodiscard]] core::duration run_time() const { return faded(run_time_); }
    /** @returns the same in one region: where few servers share many objects, fetching takes more of the
     * time. */
    [[nodiscard]] core::duration run_time_in(const core::region_id& region) const;
    /** An answer came that tells no run time, since it may have waited. */
    void confirm() { answered_ = time_.now(); }
    /** A request that was planned for a region found room there, or none. */
    void observe_room(const core::region_id& region, bool found);
    /** @returns the recent part of the requests planned for a region that found no room there. */
    [[nodiscard]] double refused_share(const core::region_id& region) const;
    /** @returns the expected time at a server that has the request's object at hand. */
    [[nodiscard]] core::duration familiar_run_time() const { return faded(familiar_); }
    /** @returns the expected time at a server that must fetch the object first. */
    [[nodiscard]] core::duration unfamiliar_run_time() const
    {
        return faded(std::max(familiar_, unfamiliar_));
    }
    /** @param taken time of a request that did not wait, without the round trip. @param familiar whether the
        server had the object at hand, as far as this instance knows; nothing without an object. */
    void observe_run_time(const core::region_id& region, core::duration taken, std::optional<bool> familiar);
    /** Takes the time of a request that waited for a slot. It counts only while no request finds a free one:
        otherwise an estimate that is too low fills all queues, and nothing could correct it.
        @param waited_runs expected wait before the run, as a multiple of the run time. */
    void observe_waited(const core::region_id& region, core::duration taken, double waited_runs,
                        std::optional<bool> familiar);

private:
    struct region_state {
        core::duration run_time;
        int samples = 0;
        double refused_share = 0;
    };

    [[nodiscard]] region_state& in(const core::region_id& region);
    void learn(const core::region_id& region, core::duration taken, std::optional<bool> familiar);
    /** Estimates fade while no answers come at all. Otherwise one that is too long for a route's time limit
       would have every request refused, and nothing could correct it. */
    [[nodiscard]] core::duration faded(core::duration estimate) const;

    const core::clock& time_;
    core::time_point created_;
    core::time_point answered_;          ///< latest answer of the service
    core::time_point found_free_slot_{}; ///< when a request last was answered without waiting
    int samples_ = 0;                    ///< run times that were learnt from, up to a few dozen
    arrival_rate demand_;
    state::region_shift_limiter regions_;
    std::map<core::region_id, region_state> by_region_;
    /** Until the first answers. */
    core::duration run_time_ = core::milliseconds(200);
    core::duration familiar_ = core::milliseconds(100);
    core::duration unfamiliar_ = core::milliseconds(200);
};

} // namespace knapweed::steering
