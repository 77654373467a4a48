#pragma once

#include "steering/traffic_policy.h"

#include <unordered_map>

namespace knapweed::steering {

/** Divides the requests of each route among its services in proportion to their weights.

    It uses smooth weighted round robin, which keeps the proportions even in short sequences of requests.
*/
class share_selector {
public:
    /** @returns the service for the next request, or null when no service of the route has a weight above 0.
     */
    [[nodiscard]] const core::service_id* next(const route& matched);

    /** Removes the state of routes that are not in the policy. */
    void keep_only(const traffic_policy& policy);

private:
    /** State of the round robin for one route. */
    struct route_state {
        std::vector<service_share> shares;   ///< services to which the weights belong
        std::vector<double> current_weights; ///< by the index in `shares`
    };

    std::unordered_map<std::string, route_state> by_route_;
};

} // namespace knapweed::steering
