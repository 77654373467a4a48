#include "steering/instance_limits.h"

#include <algorithm>

namespace knapweed::steering {

namespace {

/** A server has a few slots and a short queue; requests on more connections would only wait. */
constexpr std::size_t max_connections_per_server = 16;
/** Servers cache the objects of about their last 25 to 72 requests. */
constexpr std::size_t cached_objects_per_server = 50;
constexpr std::size_t max_recent_objects = 16;

} // namespace

std::size_t recent_object_limit(std::size_t instances)
{
    return std::clamp<std::size_t>(cached_objects_per_server / instances, 1, max_recent_objects);
}

std::size_t connection_limit(const service_policy* service, std::size_t instances)
{
    if (service == nullptr || service->max_connections == 0)
        return max_connections_per_server;
    return std::clamp<std::size_t>(service->max_connections / instances, 1, max_connections_per_server);
}

} // namespace knapweed::steering
