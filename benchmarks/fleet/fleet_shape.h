#pragma once

#include "decision/entry_node.h"

namespace knapweed::bench {

/** Size of a generated fleet; names and addresses are derived from the numbers. */
struct fleet_shape {
    std::size_t nodes = 10;
    std::size_t data_centres = 2;
    std::size_t regions = 1;
    std::size_t services = 4;
    std::size_t servers = 4; ///< of one service in one data centre
};

/** @returns a shape with 20 nodes per data centre and the design target's ratio of 80 data centres to 28
   regions; at least two data centres, also with fewer than 40 nodes. */
[[nodiscard]] fleet_shape scaled_shape(std::size_t nodes);

[[nodiscard]] std::string data_centre_name(std::size_t data_centre);
[[nodiscard]] std::string region_name(const fleet_shape& shape, std::size_t data_centre);
[[nodiscard]] std::string node_address(std::size_t node);

/** @returns options of a node; nodes are assigned to the data centres in turn. */
[[nodiscard]] decision::node_options node_options_of(const fleet_shape& shape, std::size_t node);

/** @returns the platform's list of all nodes. */
[[nodiscard]] std::vector<state::listed_instance> instance_list(const fleet_shape& shape);

/** @returns a valid configuration in which every service has servers in each data centre. */
[[nodiscard]] wire::configuration make_configuration(const fleet_shape& shape, std::uint64_t version);

} // namespace knapweed::bench
