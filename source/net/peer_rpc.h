#pragma once

#include "net/event_port.h"
#include "net/rpc_connector.h"

#include <memory>
#include <string>

namespace knapweed::net {

/** Receives the batches of messages that peers send to `POST /rpc`. */
class peer_rpc {
public:
    peer_rpc(event_port& events, telemetry& reports);
    peer_rpc(const peer_rpc&) = delete;
    peer_rpc& operator=(const peer_rpc&) = delete;
    ~peer_rpc();

    /** Sends each message of a batch to the decision thread. Messages are dropped while the ring is full.

        @returns the JSON-RPC response: empty, or an error object for input that is not a batch of messages.
    */
    [[nodiscard]] std::string receive(const std::string& request);

private:
    class server;

    rpc_connector connector_;
    std::unique_ptr<server> server_;
};

} // namespace knapweed::net
