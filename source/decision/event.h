#pragma once

#include "config.pb.h"
#include "decision/request.h"
#include "peer.pb.h"
#include "state/platform.h"

#include <variant>

namespace knapweed::decision {

/** A caller asks for the instances to which it can send requests for a service. */
struct lookup_received {
    core::exchange_id exchange;
    core::caller_id caller;
    core::service_id service;
    std::string client_address; ///< of the client, which selects its client block; may be empty
};

/** A request arrived, whose body the network layer holds. */
struct request_received {
    core::exchange_id exchange;
    request_meta request;
    hop from = hop::caller;
    core::instance_id sender; ///< the instance that relayed the request; empty with `hop::caller`
    core::data_centre_id pool_data_centre; ///< with `hop::pool`
};

/** The connection of an open exchange closed before its answer was delivered. */
struct exchange_closed {
    core::exchange_id exchange;
};

/** A relay to another instance or a dispatch to a backend server ended. */
struct dispatch_finished {
    core::dispatch_id dispatch;
    dispatch_result result;
};

/** Another instance sent a message. */
struct peer_message_received {
    wire::peer_message message;
};

/** The state that a backend server reports about itself. It may be outdated or wrong. */
struct server_report {
    bool healthy = false;
    bool leaving = false;
    std::uint32_t busy = 0; ///< slots in use
};

/** A probe of a backend server ended. */
struct server_probed {
    core::service_id service;
    core::server_id server;
    bool reached = false;  ///< the server answered the probe; `report` is valid
    core::time_point sent; ///< when the probe was sent; tells how old a late report is
    server_report report;
};

/** The platform answered a call, or the call failed. */
struct platform_replied {
    state::platform_reply reply;
};

/** An operator sent a command. */
struct operator_command_received {
    core::exchange_id exchange;
    std::string command;       ///< one line of the command language
    std::string operation;     ///< identifier of a change, chosen by the client; may be empty
    std::string operator_name; ///< recorded in the history of changes; may be empty
};

/** The daemon was asked to shut down gracefully. */
struct stop_requested {};

/** An input of `entry_node`. */
using event =
    std::variant<lookup_received, request_received, exchange_closed, dispatch_finished, peer_message_received,
                 server_probed, platform_replied, operator_command_received, stop_requested>;

} // namespace knapweed::decision
