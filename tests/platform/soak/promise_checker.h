#pragma once

#include "request_records.h"

namespace knapweed::soak {

/** A time in which a gateway was suspended, or the link to a server was in trouble. */
struct disturbance {
    std::string concerned; ///< name of the gateway, or what all ids of the server begin with
    core::milliseconds from{0};
    core::milliseconds to{0};
};

/** A change of the service to which the operator sends the route `/moved/`, and of a server's state. */
struct planned_changes {
    std::vector<std::string> services_in_order;                    ///< of the moved route, oldest first
    std::map<std::string, core::milliseconds> leaving_since;       ///< servers, by id
    std::vector<std::pair<std::string, core::milliseconds>> stops; ///< gateways that got SIGTERM, and when
    std::vector<disturbance> disturbances;
    bool only_planned = true; ///< the run has no fault: further promises hold
};

/** Checks the promises after a run, from what callers and servers saw. @returns the broken ones in words. */
[[nodiscard]] std::vector<std::string> check_promises(const request_records& records,
                                                      const planned_changes& changes);

} // namespace knapweed::soak
