#pragma once

#include "steering/lookup_choice.h"

namespace knapweed::gateway {

/** An instance that the answer to a look-up may name, with the state of its paths. */
struct lookup_entry {
    steering::lookup_candidate candidate;
    bool reaches_servers = true; ///< its paths to the backend servers are not cut
};

/** Chooses the instances that the answer to a look-up names: those that reach the servers, as if the others
    were not ready. If no instance of the region is left, the ready ones are named regardless, since they
    relay requests.
    @returns sorted addresses; empty when no instance of the region is ready.
    @see steering::choose_instances */
[[nodiscard]] std::vector<std::string> choose_lookup_addresses(const core::data_centre_id& data_centre,
                                                               const std::vector<lookup_entry>& region);

} // namespace knapweed::gateway
