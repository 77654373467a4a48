#pragma once

#include "gateway/answer_rules.h"
#include "gateway/caller_exchange.h"
#include "gateway/event_log.h"
#include "gateway/gateway_metrics.h"
#include "gateway/http_dialect.h"
#include "net/connection_pool.h"
#include "steering/steerer.h"

namespace knapweed::gateway {

/** What all requests that are being forwarded share. */
struct forwarder_context {
    net::asio::any_io_executor executor;
    const core::clock& time;
    steering::steerer& steerer;
    net::connection_pool& connections;
    const http_dialect& dialect;
    gateway_metrics& metrics;
    event_log& log;
    std::size_t in_progress = 0;
};

/** Forwards one request of a caller: follows the steerer's steps and passes the server's answer on. */
class forwarded_request : public std::enable_shared_from_this<forwarded_request> {
public:
    /** @param context must outlive this object. */
    forwarded_request(forwarder_context& context, std::shared_ptr<caller_exchange> exchange);
    forwarded_request(const forwarded_request&) = delete;
    forwarded_request& operator=(const forwarded_request&) = delete;
    ~forwarded_request();

    net::asio::awaitable<void> run();

private:
    /** Part of the answer that was read ahead, and whether that is all. */
    struct read_ahead {
        std::string body;
        bool complete = false;
    };

    [[nodiscard]] steering::request_facts read_facts() const;
    void arm_timer();
    void stop_waiting();

    net::asio::awaitable<steering::attempt_result> try_server(const steering::send_step& step);
    net::asio::awaitable<net::error_code> open_connection(steering::backend_server& server);
    net::asio::awaitable<steering::attempt_outcome> exchange_with(const steering::backend_server& server);
    net::asio::awaitable<bool> read_own_head();
    net::asio::awaitable<bool> read_ahead_body();
    [[nodiscard]] answer_facts read_answer_facts() const;
    [[nodiscard]] steering::attempt_outcome outcome_without_answer() const;
    void read_load(steering::attempt_result& result) const;

    net::asio::awaitable<void> deliver(steering::backend_server& server);
    net::asio::awaitable<bool> stream_answer(const answer_head& head, steering::backend_server& server);
    void release_connection();
    net::asio::awaitable<void> refuse(const steering::refuse_step& step);
    net::asio::awaitable<void> fail(const steering::fail_step& step);
    void log_end(std::string_view outcome, unsigned status, std::string_view reason,
                 core::duration retry_after);

    forwarder_context& context_;
    std::shared_ptr<caller_exchange> exchange_;
    std::string request_id_;
    steering::request_plan plan_;
    net::asio::steady_timer timer_;
    std::unique_ptr<net::client_connection> connection_;
    read_ahead answer_;
    bool timed_out_ = false;
    bool delivering_ = false;
    bool connection_spoiled_ = false; ///< the connection must not carry another request
};

} // namespace knapweed::gateway
