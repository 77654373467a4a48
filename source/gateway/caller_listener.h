#pragma once

#include "gateway/caller_session.h"

namespace knapweed::gateway {

/** Accepts connections at one address and runs a `caller_session` for each. */
class caller_listener {
public:
    /** @param max_sessions greatest number of open sessions. A further connection takes the place of one that
       stands still; it is closed at once if there is none. */
    caller_listener(net::asio::any_io_executor executor, std::shared_ptr<session_context> context,
                    std::size_t max_sessions);

    [[nodiscard]] net::error_code listen(const net::tcp::endpoint& address);
    /** @returns the port of the address, chosen by the system when it was given as 0. */
    [[nodiscard]] std::uint16_t port() const;

    /** Enforces the time limits of all sessions; to be called several times a second. */
    void tick();
    /** Stops accepting connections, after those that are already established, and ends those on which no
       request is in progress or has arrived. */
    void stop_accepting();
    /** Ends the connections on which no request is in progress or has arrived. */
    void close_idle_sessions();

    [[nodiscard]] std::size_t sessions() const noexcept { return context_->sessions; }

private:
    net::asio::awaitable<void> accept();
    void start_session(net::tcp::socket socket);
    void accept_established();
    /** Closes the connection that has stood still for longest, to make room for another one. @returns false
       when all others are in use. */
    [[nodiscard]] bool close_unused_session();

    net::asio::any_io_executor executor_;
    std::shared_ptr<session_context> context_;
    std::size_t max_sessions_;
    net::tcp::acceptor acceptor_;
    std::vector<std::weak_ptr<caller_session>> sessions_;
};

} // namespace knapweed::gateway
