#pragma once

#include "steering/traffic_policy.h"

#include <unordered_map>

namespace knapweed::steering {

/** Divides the requests of each route among its services in proportion to their weights.

    Smooth weighted round robin: any run of requests, also a short one, keeps the proportions.
*/
class share_selector {
public:
    /** @returns the service for the next request, or nothing when the route names none with a weight. */
    [[nodiscard]] const core::service_id* next(const route& matched);

    /** Forgets routes that no longer exist. */
    void keep_only(const traffic_policy& policy);

private:
    struct credit {
        std::vector<service_share> shares; ///< that the credit belongs to
        std::vector<double> amounts;
    };

    std::unordered_map<std::string, credit> by_route_;
};

} // namespace knapweed::steering
