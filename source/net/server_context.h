#pragma once

#include "net/event_port.h"
#include "net/exchange_table.h"
#include "net/operator_rpc.h"
#include "net/peer_rpc.h"

#include <functional>

namespace knapweed::net {

/** Limits of the HTTP server. */
struct server_limits {
    std::size_t body_bytes = 1 << 20;
    std::uint32_t header_bytes = 16384;
    std::size_t connections = 4096;
    core::milliseconds idle_time{30000};
};

/** State that all sessions of the HTTP server share. Used by the network thread only.

    The references are used only while the io_context runs. Sessions that are destroyed
    with the io_context still use the session count and the telemetry.
*/
struct server_context {
    server_limits limits;
    exchange_table& exchanges;
    event_port& events;
    telemetry& reports;
    peer_rpc& peers;
    operator_rpc& operators;
    std::function<asio::awaitable<std::string>()> metrics_text;
    bool leaving = false; ///< a graceful shutdown has begun; connections are closed after their answers
    bool stopped = false; ///< new requests are refused
    std::size_t session_count = 0;
};

} // namespace knapweed::net
