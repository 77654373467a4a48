#pragma once

#include "config.pb.h"
#include "core/core.h"

#include <cstdint>
#include <string>
#include <vector>

namespace knapweed::decision {

/** One backend server of a pool, as the operator configured it. */
struct pool_server {
    core::server_id server;
    std::string address;
    std::uint32_t slots = 1;       ///< requests that the server runs concurrently
    std::uint32_t connections = 1; ///< limit, summed over all entry instances
    bool drained = false;
};

/** Settings of one rank in a pool. */
struct rank_settings {
    double floor = 0;          ///< share of slot time that the rank gets at least while it has requests
    double queue_per_slot = 8; ///< queue capacity per slot of the pool
};

/** Settings of preemption: cancelling bulk runs so that urgent requests start sooner.

    Off by default: in `./run measure` it uses up its waste limit, while the 99th percentile of urgent latency
   in a flood of bulk requests stays within 2.5% of the value without preemption.
*/
struct preemption_settings {
    bool enabled = false;
    double waste_limit = 0.01; ///< upper limit of the share of slot time wasted over the last 10 s
};

/** Configuration of one pool. */
struct pool_settings {
    core::pool_id id;
    std::vector<pool_server> servers;
    core::per_rank<rank_settings> ranks{{{0.0, 8}, {0.15, 8}, {0.05, 8}}};
    core::milliseconds max_run{30000}; ///< longest run time of a request
    preemption_settings preemption;
};

/** Extracts the part of a configuration that concerns one pool.

    The servers of a drained data centre stay open: its weight is lowered in steps that the shift cap limits,
   and closing the servers at once would refuse the traffic that has not moved yet. A rank without a
   configured policy keeps the defaults of `pool_settings`.
*/
[[nodiscard]] pool_settings pool_settings_of(const wire::configuration& configuration,
                                             const core::pool_id& id);

} // namespace knapweed::decision
