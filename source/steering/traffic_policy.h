#pragma once

#include "accounts/accounts.h"

#include <algorithm>
#include <map>
#include <vector>

namespace knapweed::steering {

/** A service that receives a share of a route's requests. */
struct service_share {
    core::service_id service;
    double weight = 1; ///< relative to the other shares of the route
};

/** Rules for the requests of one host whose path begins with one prefix. */
struct route {
    std::string name;
    std::string host;                     ///< lower case, without a port
    std::string prefix;                   ///< begins and ends with a slash
    bool idempotent = false;              ///< whether a request may run more than once
    bool large_answers = false;           ///< answers are so large that they are delivered while they arrive
    unsigned urgency = 0;                 ///< 0 is the most urgent
    core::milliseconds timeout{0};        ///< from the arrival of a request to its final answer
    core::milliseconds target_latency{0}; ///< a later answer is worth less to the caller
    unsigned max_attempts = 1;            ///< servers to which one request may be sent
    bool object_affinity = false;         ///< a server that has recently handled the same object is faster
    std::vector<service_share> shares;
    std::vector<core::region_id> allowed_regions; ///< regions of the servers; empty allows all
    bool authentication_exempt = false;           ///< requests need no API key although others do
};

/** @returns the target latency from which run times are assumed at first: a run must end within the timeout
   of the route, even if its target is late. */
[[nodiscard]] inline core::milliseconds assumed_target(const route& of)
{
    constexpr int min_targets_per_timeout = 2;
    return std::min(of.target_latency, of.timeout / min_targets_per_timeout);
}

/** Limits of each server of one service. */
struct service_policy {
    unsigned max_connections = 0;        ///< to one server, from all instances together; 0 when not set
    core::milliseconds cold_time{0};     ///< how long a server stays cold after its start
    double cold_requests_per_second = 0; ///< that a cold server can run, from all instances together
};

/** Limits on what a caller may send. */
struct caller_limits {
    std::uint32_t header_bytes = 16384;
    std::uint64_t body_bytes = 1U << 20U;
    core::milliseconds header_timeout{3000};
    core::milliseconds idle_timeout{15000};
};

/** A complete version of the operators' configuration. */
struct traffic_policy {
    std::uint64_t version = 0;
    std::uint64_t content_hash = 0; ///< of its text in the store
    std::vector<route> routes;
    std::map<core::service_id, service_policy> services;
    /** When present, requests need the API key of one of these accounts. */
    std::optional<accounts::account_table> accounts;
    caller_limits limits;
};

/** @returns whether a configuration takes the place of the current one: its version is higher, or the same
   with other content, which a store that gives numbers out again may hold. */
[[nodiscard]] inline bool supersedes(const traffic_policy& candidate, const traffic_policy& current)
{
    return candidate.version > current.version ||
           (candidate.version == current.version && candidate.content_hash != current.content_hash);
}

} // namespace knapweed::steering
