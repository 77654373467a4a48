#pragma once

#include "core/clock.h"
#include "stand_ins/http/http_messages.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>

namespace knapweed::stand_ins {

/** Result of sending a request and waiting for its answer. */
enum class exchange_status {
    answered,      ///< the answer arrived with its announced length or its final chunk
    not_connected, ///< the connection failed, nothing was sent
    no_answer,     ///< the connection was closed before the header of an answer arrived
    broken_off, ///< the header arrived, but the body did not arrive with its announced length or final chunk
    timed_out
};

/** Status of an exchange and the answer, if one arrived. */
struct exchange_result {
    exchange_status status = exchange_status::not_connected;
    http_response response;
};

/** HTTP/1.1 client that keeps connections open for reuse. */
class http_client {
public:
    explicit http_client(asio::any_io_executor executor);

    [[nodiscard]] const asio::any_io_executor& executor() const { return executor_; }

    /** Sends a request and reads the answer.

        @param timeout of the whole exchange, including connecting.
    */
    asio::awaitable<exchange_result> exchange(tcp::endpoint server, http_request request,
                                              core::milliseconds timeout);

    /** Sends a request without a body and reads a JSON answer with status 200.

        @returns nothing when no answer arrives, its status is not 200 or its body is not JSON.
    */
    asio::awaitable<std::optional<nlohmann::json>> fetch_json(tcp::endpoint server, std::string target,
                                                              core::milliseconds timeout);

private:
    struct idle_connection {
        std::unique_ptr<beast::tcp_stream> stream;
        core::time_point since;
    };

    /** Removes a reusable connection from the pool. @returns nullptr when there is none. */
    std::unique_ptr<beast::tcp_stream> take_idle(const tcp::endpoint& server);
    asio::awaitable<exchange_result> exchange_on(beast::tcp_stream& stream, http_request request);

    asio::any_io_executor executor_;
    std::map<tcp::endpoint, std::vector<idle_connection>> idle_;
};

} // namespace knapweed::stand_ins
