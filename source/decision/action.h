#pragma once

#include "decision/request.h"
#include "peer.pb.h"
#include "state/platform.h"

#include <variant>
#include <vector>

namespace knapweed::decision {

/** Answers a look-up. */
struct answer_lookup {
    core::exchange_id exchange;
    lookup_answer answer;
};

/** Answers the exchange: the request was not run. */
struct answer_refused {
    core::exchange_id exchange;
    core::refusal_reason reason = core::refusal_reason::overloaded;
    core::milliseconds retry_after{0};
    std::string ticket; ///< fresh ticket for another attempt; may be empty
};

/** Answers the exchange: the request may have run, at most once. */
struct answer_unknown {
    core::exchange_id exchange;
    core::unknown_reason reason = core::unknown_reason::connection_lost;
};

/** Answers the exchange with the stored answer of the request's only run. */
struct answer_stored {
    core::exchange_id exchange;
    stored_answer answer;
};

/** Sends the exchange's request to a peer, and streams the answer back unless it is a refusal. */
struct relay_to_instance {
    core::exchange_id exchange;
    core::dispatch_id dispatch;
    core::instance_id instance;
    std::string address;
    hop as = hop::pool;                      ///< the role in which the peer receives the request
    request_meta request;                    ///< with the remaining time as `timeout`
    core::data_centre_id pool_data_centre{}; ///< with `hop::pool`
};

/** Sends the exchange's request to a backend server and streams the answer back. */
struct dispatch_to_server {
    core::exchange_id exchange;
    core::dispatch_id dispatch;
    core::server_id server;
    std::string address;
    core::milliseconds timeout{0};
    std::uint32_t connection_limit = 0; ///< limit of open connections to that server
};

/** Cancels a relay or dispatch. The event `dispatch_finished` follows. */
struct cancel_dispatch {
    core::dispatch_id dispatch;
};

/** Sends a message to another instance. It may be lost. */
struct send_to_peer {
    core::instance_id instance;
    std::string address;
    wire::peer_message message;
};

/** Asks a backend server for its state. The event `server_probed` follows. */
struct probe_server {
    core::service_id service;
    core::server_id server;
    std::string address;
};

/** Calls the platform. The event `platform_replied` follows. */
struct call_platform {
    state::platform_call call;
};

/** Answers an operator's command. */
struct answer_operator {
    core::exchange_id exchange;
    bool accepted = false;
    std::string json; ///< a JSON object
};

/** Counts a refusal in the metrics. */
struct count_refusal {
    core::refusal_reason reason = core::refusal_reason::overloaded;
    core::rank rank = core::rank::standard;
};
/** Counts a retry in the metrics. */
struct count_retry {
    core::retry_reason reason = core::retry_reason::not_sent;
    core::rank rank = core::rank::standard;
};
/** Counts an answer with an unknown outcome in the metrics. */
struct count_unknown {
    core::unknown_reason reason = core::unknown_reason::connection_lost;
    core::rank rank = core::rank::standard;
};
/** Writes a line to the log. */
struct write_log {
    std::string event;  ///< snake_case name of what happened
    std::string detail; ///< plain text
};

/** Reports that a graceful shutdown has started: the network layer shows it on `/healthz` and closes idle
    connections. */
struct leaving_begun {};

/** Ends the process: the graceful shutdown is complete. */
struct stop_now {};

/** An output of `entry_node`, performed by the network layer. */
using action = std::variant<answer_lookup, answer_refused, answer_unknown, answer_stored, relay_to_instance,
                            dispatch_to_server, cancel_dispatch, send_to_peer, probe_server, call_platform,
                            answer_operator, count_refusal, count_retry, count_unknown, write_log,
                            leaving_begun, stop_now>;

using action_list = std::vector<action>;

} // namespace knapweed::decision
