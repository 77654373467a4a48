#pragma once

#include "core/core.h"

namespace knapweed::net {

/** Counters of the network layer. All of them appear in `/metrics` from the start with the value 0. */
enum class counter {
    connections_accepted,
    connections_refused,
    requests_received,
    requests_malformed,
    answers_truncated,
    callers_lost,
    ring_refusals,
    ring_drops,
    upstream_connections_opened,
    upstream_connections_stale,
    upstream_connections_limited,
    upstream_connections_failed,
    peer_messages_sent,
    peer_messages_received,
    peer_messages_malformed,
    peer_messages_dropped,
    peer_heartbeats_dropped,
    peer_batches_sent,
    peer_batches_failed,
    bytes_to_callers,
    bytes_to_peers,
    bytes_to_servers,
    bytes_to_platform,
    bytes_from_platform,
    platform_calls,
    platform_calls_failed,
    probes_sent,
    probes_failed,
    log_lines_dropped,
    unexpected_errors,
    relays_sent,     ///< requests relayed to another instance, each time
    relays_failed,   ///< relays that did not end with a server's answer
    relays_received, ///< requests that another instance relayed to this one
    relays_refused   ///< those among them that exceeded the limit
};

/** Interface that receives the counts of the network layer. */
class counter_sink {
public:
    counter_sink() = default;
    counter_sink(const counter_sink&) = delete;
    counter_sink& operator=(const counter_sink&) = delete;
    virtual ~counter_sink() = default;

    virtual void add(counter which, std::uint64_t amount) = 0;
    void add(counter which) { add(which, 1); }
};

/** Gauges of the network layer. */
enum class gauge {
    caller_connections,
    open_exchanges,
    open_dispatches,
    network_ring_entries,
    control_ring_entries,
    action_backlog
};

} // namespace knapweed::net

namespace knapweed::core {

template <>
struct names_of<net::counter> {
    static constexpr std::array<std::string_view, 34> table{"connections_accepted",
                                                            "connections_refused",
                                                            "requests_received",
                                                            "requests_malformed",
                                                            "answers_truncated",
                                                            "callers_lost",
                                                            "ring_refusals",
                                                            "ring_drops",
                                                            "upstream_connections_opened",
                                                            "upstream_connections_stale",
                                                            "upstream_connections_limited",
                                                            "upstream_connections_failed",
                                                            "peer_messages_sent",
                                                            "peer_messages_received",
                                                            "peer_messages_malformed",
                                                            "peer_messages_dropped",
                                                            "peer_heartbeats_dropped",
                                                            "peer_batches_sent",
                                                            "peer_batches_failed",
                                                            "bytes_to_callers",
                                                            "bytes_to_peers",
                                                            "bytes_to_servers",
                                                            "bytes_to_platform",
                                                            "bytes_from_platform",
                                                            "platform_calls",
                                                            "platform_calls_failed",
                                                            "probes_sent",
                                                            "probes_failed",
                                                            "log_lines_dropped",
                                                            "unexpected_errors",
                                                            "relays_sent",
                                                            "relays_failed",
                                                            "relays_received",
                                                            "relays_refused"};
};

template <>
struct names_of<net::gauge> {
    static constexpr std::array<std::string_view, 6> table{"caller_connections",   "open_exchanges",
                                                           "open_dispatches",      "network_ring_entries",
                                                           "control_ring_entries", "action_backlog"};
};

} // namespace knapweed::core
