#pragma once

#include "steering/traffic_policy.h"

namespace knapweed::steering {

/** @param instances of the region. @returns one instance's share of the requests whose objects a server still
    has in its cache. */
[[nodiscard]] std::size_t recent_object_limit(std::size_t instances);

/** @param service null when the configuration has none. @param instances of all regions. @returns one
   instance's share of the connections that a server accepts. */
[[nodiscard]] std::size_t connection_limit(const service_policy* service, std::size_t instances);

} // namespace knapweed::steering
