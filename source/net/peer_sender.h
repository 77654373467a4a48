#pragma once

#include "decision/action.h"
#include "net/http_client.h"
#include "net/telemetry.h"

#include <deque>
#include <memory>
#include <unordered_map>

namespace knapweed::net {

/** Sends messages to peers in batches, as JSON-RPC notifications. Used by the network thread only.

    Each peer has a bounded queue and at most one batch in transit, so messages arrive in the order sent.
    Messages that can't be delivered are dropped and counted.
*/
class peer_sender {
public:
    peer_sender(asio::any_io_executor executor, http_client& client, telemetry& reports);

    /** Queues a message. A full queue drops its oldest heartbeat, or the new message if it contains none. */
    void send(const decision::send_to_peer& action);

    /** @returns whether no message is queued or in transit. */
    [[nodiscard]] bool idle() const noexcept { return queues_.empty(); }

    /** @returns the body of a JSON-RPC notification. @p batch holds peer messages as JSON. */
    [[nodiscard]] static std::string make_notification(const std::deque<std::string>& batch);

private:
    struct queued_message {
        bool is_heartbeat = false;
        std::string json;
    };
    struct peer_queue {
        std::deque<queued_message> messages;
        bool sending = false;
    };

    void drop_heartbeat_if_full(peer_queue& queue);
    asio::awaitable<void> send_queue(std::string address);
    asio::awaitable<void> send_batch(const std::string& address, std::deque<std::string> batch);

    asio::any_io_executor executor_;
    http_client& client_;
    telemetry& reports_;
    /** By address; only peers with queued messages or a batch in transit. */
    std::unordered_map<std::string, peer_queue> queues_;
};

} // namespace knapweed::net
