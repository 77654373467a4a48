#pragma once

#include "steering/region_planner.h"
#include "steering/route_table.h"
#include "steering/service_state.h"

#include <unordered_map>

namespace knapweed::steering {

/** This instance's estimates for each service that got a request. Owned by the steerer. */
class service_table {
public:
    /** @param cap on the requests that move between regions. @param time must outlive this object. */
    service_table(state::shift_cap cap, const core::clock& time) : cap_(cap), time_(time) {}

    /** @param first route of the request with which the service becomes known. @returns the service's
       state. */
    [[nodiscard]] service_state& state_of(const core::service_id& service, const route& first);
    /** @returns the run time of requests whose object has to be fetched, or nothing for a service that got
       none. */
    [[nodiscard]] std::optional<core::duration> unfamiliar_run_time(const core::service_id& service) const;
    /** @returns the requests per second that arrive at this instance, by service. */
    [[nodiscard]] std::map<core::service_id, double> demand() const;

    /** Plans the regions of all services when it is due; call it about every 100 ms. */
    void tick(const region_planner& planner);

private:
    state::shift_cap cap_;
    const core::clock& time_;
    std::unordered_map<core::service_id, service_state> states_;
    core::time_point last_plan_{};
};

} // namespace knapweed::steering
