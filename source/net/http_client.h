#pragma once

#include "net/connection_pool.h"

namespace knapweed::net {

enum class fetch_status {
    answered, ///< the whole answer was read
    not_sent, ///< nothing of the request was written
    lost      ///< the request may have arrived; no whole answer
};

struct fetch_result {
    fetch_status status = fetch_status::not_sent;
    unsigned http_status = 0;
    std::string body;
    std::uint64_t bytes_sent = 0;
    bool reused_connection = false;
};

/** Requests with small answers that are read as a whole: peer messages, probes, platform calls. */
class http_client {
public:
    /** @param time must outlive this object. @param connect_limit for opening a connection; without it a call
        waits for one until its timeout. @see connection_pool */
    http_client(const asio::any_io_executor& executor, core::duration idle_limit, counter_sink& reports,
                const core::clock& time, std::optional<core::duration> connect_limit = std::nullopt);

    /** @param request its body must outlive the call. @param timeout for the entire call. */
    asio::awaitable<fetch_result> fetch(std::string address, outgoing_request request, core::duration timeout,
                                        std::size_t body_limit);

    [[nodiscard]] connection_pool& connections() noexcept { return connections_; }

private:
    asio::awaitable<fetch_result> exchange(client_connection& connection, const outgoing_request& request,
                                           std::size_t body_limit);

    asio::any_io_executor executor_;
    connection_pool connections_;
    std::optional<core::duration> connect_limit_;
};

} // namespace knapweed::net
