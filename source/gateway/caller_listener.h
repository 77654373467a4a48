#pragma once

#include "gateway/caller_session.h"

namespace knapweed::gateway {

/** Accepts connections at one address and keeps their sessions. */
class caller_listener {
public:
    /** @param most_sessions open at a time; further connections are closed at once. */
    caller_listener(net::asio::any_io_executor executor, std::shared_ptr<session_context> context,
                    std::size_t most_sessions);

    [[nodiscard]] net::error_code listen(const net::tcp::endpoint& address);
    [[nodiscard]] std::uint16_t port() const;

    /** Lets sessions check their time limits. */
    void tick();
    /** From now on answers close their connections; new ones are still accepted. */
    void leave() { context_->leaving = true; }
    /** Accepts nothing more and closes the connections on which no request is in progress. */
    void stop_accepting();

    [[nodiscard]] std::size_t sessions() const noexcept { return context_->sessions; }

private:
    net::asio::awaitable<void> accept();

    net::asio::any_io_executor executor_;
    std::shared_ptr<session_context> context_;
    std::size_t most_sessions_;
    net::tcp::acceptor acceptor_;
    std::vector<std::weak_ptr<caller_session>> sessions_;
};

} // namespace knapweed::gateway
