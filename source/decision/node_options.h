#pragma once

#include "core/core.h"

#include <cstddef>
#include <string>
#include <vector>

namespace knapweed::decision {

/** Fixed properties and time limits of one entry instance. @see schema/settings.proto */
struct node_options {
    core::instance_id instance;
    core::incarnation incarnation;
    core::data_centre_id data_centre;
    core::region_id region;
    std::string address; ///< ip:port for callers and peers

    std::vector<std::string> seed_addresses; ///< instances to contact at the start when the platform is down

    core::milliseconds lookup_ttl{5000};
    core::milliseconds ticket_lifetime{600000};
    core::milliseconds heartbeat_interval{500};
    core::milliseconds suspect_after{1500};
    core::milliseconds fail_after{3000};
    core::milliseconds probe_interval{500};
    core::milliseconds witness_timeout{250};
    core::milliseconds platform_timeout{1000};
    core::milliseconds platform_poll_interval{1000};
    std::size_t platform_calls_in_flight = 4;
    std::size_t request_records = 60000;
};

} // namespace knapweed::decision
