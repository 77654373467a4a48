#pragma once

#include "decision/action.h"
#include "net/http_client.h"
#include "net/telemetry.h"

#include <deque>
#include <memory>
#include <unordered_map>

namespace knapweed::net {

/** Sends messages to peers in batches, as JSON-RPC notifications. Belongs to the network thread.

    Each peer has a bounded queue and one batch under way, so messages arrive in the order sent. Messages that
    can't be delivered are dropped and counted.
*/
class peer_sender {
public:
    peer_sender(asio::any_io_executor executor, http_client& client, telemetry& reports);

    void send(const decision::send_to_peer& action);

    /** @returns whether no message waits or is under way. */
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

    void make_room(peer_queue& queue);
    asio::awaitable<void> run(std::string address);
    asio::awaitable<void> send_batch(const std::string& address, std::deque<std::string> batch);

    asio::any_io_executor executor_;
    http_client& client_;
    telemetry& reports_;
    std::unordered_map<std::string, peer_queue> queues_; ///< by address; only peers with messages waiting
};

} // namespace knapweed::net
