#pragma once

#include "steering/peer_table.h"

namespace knapweed::steering {

/** An instance that the answer to a look-up may name. */
struct lookup_candidate {
    std::string address; ///< ip:port for callers
    core::data_centre_id data_centre;
    double capacity = 1; ///< cores that the instance may use
    bool ready = false;  ///< accepts requests of callers and is live
};

/** Chooses the instances that the answer to a caller's look-up names.

    Callers spread their requests evenly over the named instances, whatever the capacity of each. So only the
    largest instances of the caller's data centre are named, enough of them for most of its capacity. When
   most of that capacity is unavailable, instances of the whole region are named, since the few that are left
   in the data centre would be overloaded.

    @param data_centre of the caller. @param region all known instances of its region, ready or not.
    @returns sorted addresses; empty when no instance of the region is ready.
*/
[[nodiscard]] std::vector<std::string> choose_instances(const core::data_centre_id& data_centre,
                                                        const std::vector<lookup_candidate>& region);

} // namespace knapweed::steering
