#pragma once

#include "gateway/answer_rules.h"
#include "gateway/caller_exchange.h"
#include "gateway/event_log.h"
#include "gateway/gateway_metrics.h"
#include "gateway/http_dialect.h"
#include "net/connection_pool.h"
#include "steering/steerer.h"

namespace knapweed::gateway {

/** State shared by all forwarded requests of an instance. */
struct forwarder_context {
    net::asio::any_io_executor executor;
    const core::clock& time;
    steering::steerer& steerer;
    net::connection_pool& connections;
    const http_dialect& dialect;
    gateway_metrics& metrics;
    event_log& log;
    std::size_t in_progress = 0; ///< requests that are being forwarded now
};

/** Forwards one request of a caller to a backend server and the server's answer to the caller.

    The steerer decides the next step after each attempt: send the request to a server, deliver the answer,
    refuse the request or report an unknown outcome. This class carries the steps out.
*/
class forwarded_request : public std::enable_shared_from_this<forwarded_request> {
public:
    /** @param context must outlive this object. */
    forwarded_request(forwarder_context& context, std::shared_ptr<caller_exchange> exchange);
    forwarded_request(const forwarded_request&) = delete;
    forwarded_request& operator=(const forwarded_request&) = delete;
    ~forwarded_request();

    /** Processes the request until its answer is written or its caller has disconnected. */
    net::asio::awaitable<void> run();

private:
    /** Beginning of the answer's body, read before the answer is delivered. */
    struct buffered_answer {
        std::string body;
        bool complete = false; ///< it is the whole body
    };

    [[nodiscard]] steering::request_facts extract_request_facts() const;
    void arm_timer();
    void arm_silence_timer();
    void abort_attempt();

    net::asio::awaitable<steering::attempt_result> try_server(const steering::send_step& step);
    net::asio::awaitable<steering::connect_failure> open_connection(steering::backend_server& server);
    net::asio::awaitable<steering::attempt_outcome> send_and_receive(const steering::backend_server& server);
    /** Reads the head of the answer to this request and skips answers to earlier ones.
        @returns false when the connection failed or too many answers were skipped. */
    net::asio::awaitable<bool> read_matching_head();
    /** Reads the body of an answer to another request. @returns false when the connection failed or the body
       is too long. */
    net::asio::awaitable<bool> skip_body();
    /** Reads the beginning of the body. @returns false when the connection failed. */
    net::asio::awaitable<bool> buffer_body();
    [[nodiscard]] answer_facts extract_answer_facts() const;
    [[nodiscard]] steering::attempt_outcome outcome_without_answer() const;
    void extract_load(steering::attempt_result& result) const;

    net::asio::awaitable<void> deliver(steering::backend_server& server);
    net::asio::awaitable<bool> stream_answer(const answer_head& head, steering::backend_server& server);
    void release_connection();
    net::asio::awaitable<void> refuse(const steering::refuse_step& step);
    net::asio::awaitable<void> fail(const steering::fail_step& step);
    void log_result(std::string_view outcome, unsigned status, std::string_view reason,
                    core::duration retry_after);

    forwarder_context& context_;
    std::shared_ptr<caller_exchange> exchange_;
    std::string request_id_;
    steering::request_plan plan_;
    net::asio::steady_timer timer_;
    std::unique_ptr<net::client_connection> connection_;
    buffered_answer buffered_answer_;
    bool timed_out_ = false;  ///< the time limit of the request passed before an answer was delivered
    bool delivering_ = false; ///< the time limit no longer applies
    bool must_discard_connection_ = false; ///< it must not be reused for another request
};

} // namespace knapweed::gateway
