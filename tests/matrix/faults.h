#pragma once

#include "matrix/cluster.h"

namespace knapweed::matrix {

/** The nodes and the server that a fault of a cell affects, by their role for its subject. */
struct fault_roles {
    int owner = 0;      ///< node that owns the request
    int witness = 1;    ///< node that records its intent
    int pool_owner = 0; ///< node that dispatches to the servers
    fake_server* server = nullptr;
    std::function<void(core::rank, bool crashes_server)> send; ///< sends another request
};

/** A fault that begins at a step of the subject and ends after its duration. */
struct fault {
    std::string name;
    std::function<void(simulated_cluster&, const fault_roles&)> begin;
    std::function<void(simulated_cluster&, const fault_roles&)> end;
    core::milliseconds duration{4000};
};

/** All faults, in the order of the printed table. */
[[nodiscard]] const std::vector<fault>& all_faults();

/** Publishes a configuration from a node, based on its current version: a longer `max_run_ms` and @p change.
 */
void publish_change(simulated_cluster& cluster, int node, const std::string& operation,
                    const std::function<void(wire::configuration&)>& change = {});

} // namespace knapweed::matrix
