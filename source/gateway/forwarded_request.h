#pragma once

#include "gateway/event_log.h"
#include "gateway/gateway_metrics.h"
#include "gateway/graceful_shutdown.h"
#include "gateway/message_heads.h"
#include "gateway/relay_origin.h"
#include "gateway/relay_sender.h"
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
    const relay_sender& relays;
    const graceful_shutdown& shutdown;
    std::size_t in_progress = 0;         ///< requests that are being forwarded now
    std::size_t relayed_in_progress = 0; ///< those among them that other instances relayed and that may run
    std::size_t held_answer_bytes = 0;   ///< buffered of answers that are held until they are whole
};

/** Forwards one request of a caller to a backend server and the server's answer to the caller.

    The steerer decides the next step after each attempt: send the request to a server or to another instance,
    deliver the answer, refuse the request or report an unknown outcome. This class carries the steps out.
*/
class forwarded_request : public std::enable_shared_from_this<forwarded_request> {
public:
    /** @param context must outlive this object. @param origin of a request that another instance relays. */
    forwarded_request(forwarder_context& context, std::shared_ptr<caller_exchange> exchange,
                      std::optional<relay_origin> origin = std::nullopt);
    forwarded_request(const forwarded_request&) = delete;
    forwarded_request& operator=(const forwarded_request&) = delete;
    ~forwarded_request();

    /** Processes the request until its answer is written or its caller has disconnected. */
    net::asio::awaitable<void> run();

private:
    /** Counts a relayed request. @returns false when the limit of those in progress is reached. */
    [[nodiscard]] bool accept_relayed();
    [[nodiscard]] steering::request_facts extract_request_facts() const;
    void hold_only_answer();
    /** @returns what servers are told of the account of the request. */
    [[nodiscard]] account_statement stated_account() const;
    /** Carries out a step that sends the request. @returns the next step, or nothing when the caller has
       disconnected. */
    net::asio::awaitable<std::optional<steering::next_step>> send(steering::send_step step);
    net::asio::awaitable<std::optional<steering::next_step>> relay(steering::relay_step step);
    void arm_timer();
    void arm_silence_timer();

    net::asio::awaitable<steering::attempt_result> try_server(const steering::send_step& step);
    net::asio::awaitable<steering::connect_failure> open_connection(steering::backend_server& server);
    net::asio::awaitable<steering::attempt_outcome> send_and_receive(const steering::backend_server& server);
    [[nodiscard]] steering::attempt_outcome outcome_without_answer() const;
    /** @returns whether an answer is held back until it is whole, so that it can't break off in front of
       answers to other requests. @param bytes of it that are buffered. */
    [[nodiscard]] bool hold_answer(std::size_t bytes);

    /** @param server that sent the answer, null when another instance passed it on. */
    net::asio::awaitable<void> deliver(steering::backend_server* server);
    net::asio::awaitable<bool> stream_answer(const answer_head& head, steering::backend_server* server);
    net::asio::awaitable<void> refuse(const steering::refuse_step& step);
    net::asio::awaitable<void> fail(const steering::fail_step& step);
    void log_result(std::string_view outcome, unsigned status, std::string_view reason,
                    core::duration retry_after);

    forwarder_context& context_;
    std::shared_ptr<caller_exchange> exchange_;
    std::optional<relay_origin> origin_;
    std::string request_id_;
    steering::request_plan plan_;
    net::asio::steady_timer timer_;
    upstream_exchange upstream_;
    std::size_t held_bytes_ = 0; ///< of this answer, counted in the context
    bool accepted_relayed_ = false;
    bool delivering_ = false; ///< the time limit no longer applies
};

} // namespace knapweed::gateway
