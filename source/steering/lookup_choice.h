#pragma once

#include "steering/peer_table.h"

namespace knapweed::steering {

/** An instance that callers could be sent to. */
struct lookup_candidate {
    std::string address; ///< ip:port for callers
    core::data_centre_id data_centre;
    double capacity = 1; ///< cores
    bool ready = false;  ///< serves callers and was heard lately
};

/** Chooses the instances that an answer to a look-up names.

    Callers spread evenly over the named instances, whatever these can carry. So only the largest ones of the
    caller's data centre are named, enough for most of its capacity. When most of that capacity is gone, those
    of the whole region are named: the few that are left would be overloaded.

    @param data_centre of the caller. @param region all known instances of its region, ready or not.
    @returns addresses in order; empty when no instance of the region is ready.
*/
[[nodiscard]] std::vector<std::string> choose_instances(const core::data_centre_id& data_centre,
                                                        const std::vector<lookup_candidate>& region);

} // namespace knapweed::steering
