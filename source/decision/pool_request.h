#pragma once

#include "core/core.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace knapweed::decision {

/** A request offered to a pool. */
struct pool_request {
    core::exchange_id exchange;
    core::instance_id
        from; ///< instance that uses its credit; the pool owner names itself for its own requests
    core::rank rank = core::rank::standard;
    core::time_point deadline;
    bool idempotent = false;
    bool ready = true; ///< false while the witness has not acknowledged the intent
    core::fingerprint fingerprint;
    core::time_point
        latest_start{}; ///< set by the pool: a run that starts later would probably miss the deadline
};

/** A request that the pool starts now on a slot of a server. */
struct started_run {
    core::exchange_id exchange;
    core::server_id server;
    std::string address;
    std::uint32_t connection_limit = 0; ///< this owner's part of the connections to the server
    bool solitary = false;              ///< a suspect that runs alone on the server
};

/** How a run ended. */
enum class run_end {
    answered,  ///< the whole answer was received
    not_run,   ///< the connection failed before the first byte was written
    shed,      ///< the server refused the request without running it
    died,      ///< the connection broke while the request ran
    timed_out, ///< no whole answer in time; the server may still be running it
    cancelled  ///< cancelled by the owner; the server gives up the work
};

/** What ran on a server at the moment it died. */
struct server_death {
    std::vector<core::fingerprint> running;
    bool solitary = false; ///< only a suspect ran
};

/** A run that ended. */
struct finished_run {
    core::server_id server;
    core::rank rank = core::rank::standard;
    core::fingerprint fingerprint;
    core::duration elapsed{0};
    bool solitary = false;
    std::optional<server_death> death; ///< set on the first run that reports the death of its server
};

/** A request that left the queue without being run. */
struct dropped_request {
    core::exchange_id exchange;
    core::rank rank = core::rank::standard;
    core::refusal_reason reason = core::refusal_reason::expired_in_queue;
};

/** What a pool decided: runs to start, and requests to refuse. */
struct schedule_result {
    std::vector<started_run> started;
    std::vector<dropped_request> dropped;
};

} // namespace knapweed::decision
