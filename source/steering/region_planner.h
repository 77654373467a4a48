#pragma once

#include "steering/peer_table.h"
#include "steering/server_catalogue.h"
#include "steering/service_state.h"

namespace knapweed::steering {

/** Plans which part of a service's requests each region runs, from the demand of all regions and the capacity
   of their servers. @see plan_regions */
class region_planner {
public:
    /** @param servers and @p peers must outlive this object. */
    region_planner(core::region_id own, const server_catalogue& servers, const peer_table& peers);

    /** Sets the target of the shares of the regions. @param state of the service, on this instance. */
    void plan(const core::service_id& service, service_state& state) const;

private:
    [[nodiscard]] double demand_in(const core::service_id& service, const core::region_id& region,
                                   const service_state& state) const;

    core::region_id own_;
    const server_catalogue& servers_;
    const peer_table& peers_;
};

} // namespace knapweed::steering
