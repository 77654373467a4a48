#pragma once

#include "stand_ins/backend/answer_body.h"
#include "stand_ins/backend/run_time.h"
#include "stand_ins/http/option_parser.h"

namespace knapweed::stand_ins {

/** State that a server's health answer reports instead of the real one; `none` reports the real one. */
enum class health_override { none, idle, full, unhealthy };

} // namespace knapweed::stand_ins

template <>
struct knapweed::core::names_of<knapweed::stand_ins::health_override> {
    static constexpr std::array<std::string_view, 4> table{"none", "idle", "full", "unhealthy"};
};

namespace knapweed::stand_ins {

/** Behaviour of the servers of one process. */
struct backend_options {
    std::uint64_t servers = 1;
    std::uint64_t first_port = 9000;
    std::string service = "service";
    std::uint64_t slots = 3; ///< requests that a server runs at the same time
    std::uint64_t seed = 1;
    run_distribution distribution = run_distribution::log_normal;
    core::milliseconds run_mean{20};
    double run_sigma = 0.5; ///< standard deviation of the logarithm of a log-normal run time
    std::uint64_t answer_bytes = 1000;
    answer_format format = answer_format::bytes;
    core::milliseconds health_lag{0}; ///< lag of the state that health answers report
    health_override initial_health_override = health_override::none;
    std::uint64_t cold_requests = 0;       ///< slow requests after a start or restart
    double cold_factor = 4;                ///< factor on the run time of a slow request
    core::milliseconds restart_time{3000}; ///< for which a crashed server refuses connections
    std::uint64_t lifetime_seconds = 600;
};

/** Adds all options of the backend emulator to a parser. */
void add_backend_options(option_parser& parser, backend_options& options);

} // namespace knapweed::stand_ins
