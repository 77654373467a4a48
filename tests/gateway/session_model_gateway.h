#pragma once

#include "gateway/caller_listener.h"
#include "gateway/forwarded_request.h"

#include <boost/asio/io_context.hpp>

namespace knapweed::test {

/** The gateway's part of a model run: a listener, the steerer and connections to servers, on the caller's
   thread and with a simulated clock. */
class session_model_gateway {
public:
    /** The prefix of routes whose requests must not repeat. */
    static constexpr const char* once_prefix = "/once/";
    static constexpr std::size_t max_attempts = 3;

    explicit session_model_gateway(const std::vector<std::string>& server_addresses);

    [[nodiscard]] std::uint16_t port() const { return listener_.port(); }
    /** Runs at most @p count handlers that are ready. @returns how many ran. */
    std::size_t run(std::size_t count);
    /** Runs handlers that are ready or get ready within a millisecond. @returns whether any ran. */
    bool run_or_wait();
    /** Lets time pass, with the periodic work that belongs to it. */
    void pass(core::milliseconds time);
    void begin_shutdown(core::milliseconds grace_period) { shutdown_.begin(grace_period); }
    /** Stops accepting connections, and ends the idle ones, as during a shutdown. */
    void stop_accepting();
    [[nodiscard]] const std::vector<std::string>& errors() const noexcept { return errors_; }

private:
    net::asio::awaitable<void> forward(std::shared_ptr<gateway::caller_exchange> exchange);

    std::vector<std::string> errors_;
    core::simulated_clock time_;
    gateway::http_dialect dialect_;
    gateway::gateway_metrics metrics_;
    gateway::event_log log_;
    steering::steerer steerer_;
    gateway::body_budget bodies_{gateway::make_body_limits(160000000)};
    boost::asio::io_context io_{1};
    net::connection_pool connections_;
    gateway::relay_sender relays_;
    gateway::graceful_shutdown shutdown_{time_};
    gateway::forwarder_context context_;
    gateway::caller_listener listener_;
    bool accepting_ = true;
};

} // namespace knapweed::test
