#include "net/peer_sender.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <google/protobuf/util/json_util.h>

namespace knapweed::net {

namespace {

constexpr std::size_t queue_limit = 1024;
constexpr std::size_t batch_limit = 256;
constexpr std::size_t batch_limit_bytes = 1U << 20U;
constexpr core::milliseconds batch_collection_time{2};
// More than two round trips between the most distant regions.
constexpr core::milliseconds batch_timeout{1000};
constexpr std::size_t response_limit_bytes = std::size_t{64} * 1024;

} // namespace

peer_sender::peer_sender(asio::any_io_executor executor, http_client& client, telemetry& reports)
    : executor_(std::move(executor)), client_(client), reports_(reports)
{}

void peer_sender::send(const decision::send_to_peer& action)
{
    queued_message message;
    message.is_heartbeat = action.message.has_heartbeat();
    if (!google::protobuf::util::MessageToJsonString(action.message, &message.json).ok()) {
        reports_.add(counter::peer_messages_malformed);
        return;
    }
    auto& queue = queues_[action.address];
    drop_heartbeat_if_full(queue);
    if (queue.messages.size() >= queue_limit) {
        reports_.add(counter::peer_messages_dropped);
        return;
    }
    queue.messages.push_back(std::move(message));
    if (!queue.sending) {
        queue.sending = true;
        asio::co_spawn(executor_, send_queue(action.address), asio::detached);
    }
}

void peer_sender::drop_heartbeat_if_full(peer_queue& queue)
{
    if (queue.messages.size() < queue_limit)
        return;
    const auto oldest_heartbeat = std::find_if(queue.messages.begin(), queue.messages.end(),
                                               [](const auto& message) { return message.is_heartbeat; });
    if (oldest_heartbeat == queue.messages.end())
        return;
    queue.messages.erase(oldest_heartbeat);
    reports_.add(counter::peer_heartbeats_dropped);
}

asio::awaitable<void> peer_sender::send_queue(std::string address)
{
    asio::steady_timer collection_timer(executor_, batch_collection_time);
    co_await collection_timer.async_wait(as_result);
    while (!queues_[address].messages.empty()) {
        auto& messages = queues_[address].messages;
        std::deque<std::string> batch;
        std::size_t bytes = 0;
        while (!messages.empty() && batch.size() < batch_limit && bytes < batch_limit_bytes) {
            bytes += messages.front().json.size();
            batch.push_back(std::move(messages.front().json));
            messages.pop_front();
        }
        co_await send_batch(address, std::move(batch));
    }
    queues_.erase(address);
}

asio::awaitable<void> peer_sender::send_batch(const std::string& address, std::deque<std::string> batch)
{
    const auto body = make_notification(batch);
    outgoing_request request{"POST", "/rpc", {{"Content-Type", "application/json"}}, body};
    const auto result =
        co_await client_.fetch(address, std::move(request), batch_timeout, response_limit_bytes);
    reports_.add(counter::bytes_to_peers, result.bytes_sent);
    if (result.status == fetch_status::answered && result.http_status == 200) {
        reports_.add(counter::peer_batches_sent);
        reports_.add(counter::peer_messages_sent, batch.size());
        co_return;
    }
    reports_.add(counter::peer_batches_failed);
    reports_.add(counter::peer_messages_dropped, batch.size());
}

std::string peer_sender::make_notification(const std::deque<std::string>& batch)
{
    std::string body = R"({"jsonrpc":"2.0","method":"deliver","params":{"batch":[)";
    for (const auto& message : batch) {
        body += message;
        body += ',';
    }
    if (!batch.empty())
        body.pop_back();
    body += "]}}";
    return body;
}

} // namespace knapweed::net
