#pragma once

#include "core/core.h"
#include "decision/pool_settings.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace knapweed::measure {

/** Properties of the requests of one rank. */
struct rank_work {
    double load = 0;           ///< offered slot time as a share of the capacity
    core::duration median{0};  ///< median of the log-normal run time
    core::duration timeout{0}; ///< set by the caller
};

/** The largest service of a simulated firm: its servers, latencies and load. @see docs/design.md, 1.5 */
struct firm {
    std::string name;
    std::vector<std::size_t> servers; ///< number by data centre; data centres 2n and 2n + 1 share a region
    std::uint32_t slots = 3;          ///< of each server
    /** One-way latencies: from a caller to its data centre, between data centres of a region, between
     * regions. */
    core::duration client_latency{0};
    core::duration data_centre_latency{0};
    core::duration region_latency{0};
    core::per_rank<rank_work> work; ///< at normal load
    double sigma = 0.6;             ///< standard deviation of the logarithm of the run time
};

/** The load of one simulation, and a data centre that has failed, if any. */
struct scenario {
    std::string name;
    core::per_rank<double> load;                 ///< offered slot time as a share of the capacity
    std::optional<std::size_t> lost_data_centre; ///< takes no requests
};

/** @returns the firm with that name, or nothing. */
[[nodiscard]] std::optional<firm> find_firm(std::string_view name);
/** @returns normal load, floods of bulk and of urgent requests, and the loss of a data centre. */
[[nodiscard]] std::vector<scenario> all_scenarios(const firm& measured_firm);
[[nodiscard]] double mean_run_seconds(const firm& measured_firm, core::rank rank);

} // namespace knapweed::measure
