#pragma once

#include "stand_ins/http/http_messages.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>

namespace knapweed::stand_ins {

/** HTTP/1.1 server on the loopback interface that answers each request in a coroutine. */
class http_server {
public:
    /** Answers one request. An empty result closes the connection without an answer. */
    using handler = std::function<asio::awaitable<std::optional<http_response>>(http_request)>;

    http_server(const asio::any_io_executor& executor, handler answer);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    /** Accepts connections on 127.0.0.1; port 0 lets the system choose one.

        @throws boost::system::system_error when the port is not free.
    */
    void listen(std::uint16_t port);

    /** Refuses new connections and closes all open ones, including those with a request in progress.

        The server can listen again afterwards.
    */
    void close();

    [[nodiscard]] std::uint16_t port() const;

private:
    struct shared_state;
    static asio::awaitable<void> accept(std::shared_ptr<shared_state> state, std::uint64_t generation);
    static asio::awaitable<void> serve(std::shared_ptr<shared_state> state, tcp::socket socket);

    std::shared_ptr<shared_state> state_; ///< shared with the coroutines, which may outlive the server
};

} // namespace knapweed::stand_ins
