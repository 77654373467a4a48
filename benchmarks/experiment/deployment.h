#pragma once

#include "core/core.h"

#include <string>
#include <vector>

namespace knapweed::experiment {

/** A region: its data centres are alike. */
struct region_shape {
    std::string name;
    int data_centres = 1;
    int instances = 1;              ///< of one data centre
    int servers = 1;                ///< of one data centre
    double requests_per_second = 0; ///< of all callers of the region, on average
    double phase = 0;               ///< of the daily swing, as part of its period
};

/** Properties of the one service of a deployment and of its route. */
struct service_shape {
    bool object_affinity = true;
    unsigned slots = 3;
    std::size_t queue = 9;            ///< requests that a server holds beyond its slots
    std::uint64_t objects = 100;      ///< accessed with the same probability
    std::size_t cached_requests = 50; ///< a server keeps the objects of its last requests in its cache
    core::milliseconds cached_run_time{72};
    core::milliseconds fetch_run_time{240};
    core::milliseconds target{200};      ///< an answer after it is late
    core::milliseconds timeout{800};     ///< of the route
    core::milliseconds time_limit{1200}; ///< of the caller, over all its attempts
    double late_worth = 0.2;             ///< credit of a late answer; that of a timely one is 1
};

/** Limits that some servers name in their answers for a time. */
struct limit_shape {
    std::size_t one_in = 0;         ///< each server of that many names a limit; 0 for none
    double requests_per_second = 8; ///< of each of them, from all instances
    core::milliseconds from{0};
    core::milliseconds to{0};
};

/** A described deployment and the load of one run. */
struct deployment {
    std::vector<region_shape> regions;
    service_shape service;
    core::milliseconds delay_in_data_centre{1}; ///< one way
    core::milliseconds delay_in_region{1};
    core::milliseconds delay_between_regions{20};
    double swing = 0; ///< amplitude of the demand around its mean, as part of the mean
    core::milliseconds swing_period{36000};
    core::milliseconds length{20000};
    limit_shape limits;
    core::milliseconds power_cut_at{0}; ///< all instances start again without memory; 0 for never
};

/** A deployment read from a file, and the errors found in it. */
struct deployment_result {
    deployment description;
    std::vector<std::string> errors; ///< empty when the file is valid
};

/** Parses a deployment in INI format; benchmarks/experiment/deployments has examples of all keys. */
[[nodiscard]] deployment_result parse_deployment(const std::string& text);

} // namespace knapweed::experiment
