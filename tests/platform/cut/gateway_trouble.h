#pragma once

#include "core/core.h"

#include <string>
#include <vector>

namespace knapweed::soak {

/** What happens to one of the gateways of a run. */
enum class gateway_trouble {
    steady,  ///< nothing: all gateways run
    cut,     ///< it loses its paths to all servers for a time, and relays
    restart, ///< it is killed and started again
    freeze,  ///< it is suspended for a time
    late     ///< it starts late
};

/** Options of a run in which one gateway may be in trouble. */
struct trouble_options {
    std::string program;          ///< path of knapweed-gateway
    std::string directory;        ///< for the history, settings and logs
    std::string previous_program; ///< an earlier build, which every second gateway runs at first; or empty
    std::uint64_t seed = 1;
    gateway_trouble kind = gateway_trouble::steady;
};

/** Result of one run. */
struct trouble_result {
    std::vector<std::string> broken; ///< promises, in words
    std::string summary;
    std::string history; ///< file
};

} // namespace knapweed::soak

namespace knapweed::core {

template <>
struct names_of<soak::gateway_trouble> {
    static constexpr std::array<std::string_view, 5> table{"steady", "cut", "restart", "freeze", "late"};
};

} // namespace knapweed::core
