#pragma once

#include "steering/traffic_policy.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace knapweed::steering {

/** Finds the route of a request: among the routes of its host, the one with the longest matching prefix. */
class route_table {
public:
    explicit route_table(std::shared_ptr<const traffic_policy> policy);

    /** @param host value of the host header; a port and upper case are ignored. @param path without a query.
        @returns the route, which lives as long as the policy, or null. */
    [[nodiscard]] const route* find(std::string_view host, std::string_view path) const;

    /** @returns whether no route to the service is more urgent. */
    [[nodiscard]] bool is_most_urgent(unsigned urgency, const core::service_id& service) const;

    [[nodiscard]] const std::shared_ptr<const traffic_policy>& policy() const noexcept { return policy_; }

private:
    std::shared_ptr<const traffic_policy> policy_;
    std::unordered_map<std::string, std::vector<const route*>> by_host_; ///< longest prefix first
    std::unordered_map<core::service_id, unsigned> most_urgent_;         ///< lowest number of its routes
};

} // namespace knapweed::steering
