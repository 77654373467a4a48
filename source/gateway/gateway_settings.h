#pragma once

#include "core/core.h"
#include "steering/steerer.h"

#include <map>
#include <string>
#include <vector>

namespace knapweed::gateway {

/** Settings of the gateway, from an INI file. Sections and keys are listed in docs/operators-gateway.md. */
struct gateway_settings {
    core::instance_id instance;
    core::data_centre_id data_centre;
    core::region_id region;
    std::string caller_address;             ///< ip:port for callers' requests
    std::string readiness_address;          ///< ip:port for readiness checks
    std::string lookup_address;             ///< ip:port for look-ups of callers
    std::string peer_address;               ///< ip:port for datagrams and relayed requests between instances
    std::string metrics_address;            ///< ip:port for metrics
    std::string store_address;              ///< ip:port of the platform's store
    core::milliseconds grace_period{6000};  ///< from the stop signal to the end of the process
    core::milliseconds lookup_ttl{4000};    ///< time for which callers may cache an answer to a look-up
    double capacity = 1;                    ///< cores that the process may use, in cores of normal speed
    std::uint64_t memory_bytes = 160000000; ///< of the machine; half of it is for bodies of requests
    unsigned max_descriptors = 4100;        ///< that the process may have open
    double largest_shift = 0.15;            ///< share of a region's requests that may change region in 2 s
    /** In any second, all instances together may send a cold (recently started) server at most its service's
        cold rate (requests per second) times `cold_multiplier`, plus `cold_slack` requests. */
    double cold_multiplier = 1.5;
    double cold_slack = 5;
    /** All instances together may retry this share of a service's requests in a window, and `retry_extra`
        requests more. */
    double retry_ratio = 0.2;
    double retry_extra = 60;
    /** In any window, all instances together may run this part of what an account's quota allows, and this
       many requests, beyond it. */
    accounts::quota_margin quota_margin{0.1, 20};
    unsigned log_lines_per_second = 400; ///< further lines are dropped and counted
    /** Fingerprints of requests that an operator releases from quarantine. */
    std::vector<core::fingerprint> released_requests;
    std::map<core::data_centre_id, core::region_id> data_centres;
};

/** Settings read from a file, and the errors found in it. */
struct settings_result {
    gateway_settings settings;
    std::vector<std::string> errors; ///< empty when the settings are valid
};

/** Parses settings in INI format. All errors are reported, not only the first. Unknown keys are ignored,
   since the file may have been written for a later version. */
[[nodiscard]] settings_result parse_gateway_settings(const std::string& text);

/** Reads and parses a settings file. A file that can't be read gives an error in the result. */
[[nodiscard]] settings_result read_gateway_settings(const std::string& file);

/** @returns the options of the steering decisions. @param seed of what they draw at random. */
[[nodiscard]] steering::steerer_options make_steerer_options(const gateway_settings& settings,
                                                             std::uint64_t seed);

} // namespace knapweed::gateway
