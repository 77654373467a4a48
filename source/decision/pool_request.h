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
    /** Instance that sent the request and uses its credit; the pool owner itself for requests it received
       from callers. */
    core::instance_id from;
    core::rank rank = core::rank::standard;
    core::time_point deadline;
    bool idempotent = false;
    bool ready = true; ///< may start; false until the witness acknowledges the intent
    core::fingerprint fingerprint;
    /** Set by the pool: a run that starts later would probably miss the deadline. */
    core::time_point latest_start{};
};

/** A request that the pool starts now on a slot of a server. */
struct started_run {
    core::exchange_id exchange;
    core::server_id server;
    std::string address;
    std::uint32_t connection_limit = 0; ///< connections to the server that this owner may use
    bool solitary = false;              ///< must run alone on the server because it may crash it
};

/** How a run ended. */
enum class run_end {
    answered,  ///< the complete answer was received
    not_run,   ///< the connection failed before the first byte was written
    shed,      ///< the server refused the request without running it
    died,      ///< the connection broke while the request ran
    timed_out, ///< no complete answer in time; the server may still be running it
    cancelled  ///< cancelled by the pool owner; the server aborts the work
};

/** The death of a server, with the requests that ran on it at that time. */
struct server_death {
    std::vector<core::fingerprint> running;
    bool solitary = false; ///< the request ran alone, because it was suspected of crashing servers
};

/** A run that has ended, returned by `pool::finish`. */
struct finished_run {
    core::server_id server;
    core::rank rank = core::rank::standard;
    core::fingerprint fingerprint;
    core::duration elapsed{0};
    bool solitary = false;
    std::optional<server_death> death; ///< set only on the first run of a server that ends through its death
};

/** A request that left the queue without being run. */
struct dropped_request {
    core::exchange_id exchange;
    core::rank rank = core::rank::standard;
    core::refusal_reason reason = core::refusal_reason::expired_in_queue;
};

/** Result of scheduling a pool: the runs to dispatch and the requests to refuse. */
struct schedule_result {
    std::vector<started_run> started;
    std::vector<dropped_request> dropped;
};

} // namespace knapweed::decision
