#pragma once

#include "net/server_context.h"

#include <memory>
#include <vector>

namespace knapweed::net {

class http_session;

/** Accepts connections and runs a session on each. Used by the network thread only. */
class http_server {
public:
    http_server(asio::any_io_executor executor, std::shared_ptr<server_context> context);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    /** Binds the address and starts accepting. @returns the error if that fails. */
    [[nodiscard]] error_code listen(const tcp::endpoint& address);

    /** @returns the port in use, which the operating system chose if port 0 was requested. */
    [[nodiscard]] std::uint16_t port() const;

    /** Stops accepting and closes idle connections. */
    void stop();

    /** Closes connections without a request in progress. While the instance is leaving, the others close
        after their answer. */
    void close_idle();

private:
    asio::awaitable<void> accept();

    asio::any_io_executor executor_;
    std::shared_ptr<server_context> context_;
    tcp::acceptor acceptor_;
    std::vector<std::weak_ptr<http_session>> sessions_;
};

} // namespace knapweed::net
