#pragma once

#include "gateway/status_codec.h"
#include "net/lasting_task.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <functional>

namespace knapweed::gateway {

/** Exchanges messages with the other instances as UDP datagrams. Datagrams are neither acknowledged nor
   resent: a later message replaces a lost one, or shows that a change was missed. */
class peer_link {
public:
    /** Size in bytes of the receive buffer; longer datagrams would be truncated. */
    static constexpr std::size_t max_datagram_bytes = 8192;

    using message_handler = std::function<void(const peer_message&)>;

    /** @param on_message is called with each message, also with one that could not be decoded.
        @param on_error is called with each unexpected error. */
    peer_link(const net::asio::any_io_executor& executor, message_handler on_message,
              net::error_hook on_error);

    /** Binds the socket to @p address and begins to receive. */
    [[nodiscard]] net::error_code open(const net::asio::ip::udp::endpoint& address);
    /** Sends a datagram to each address, given as ip:port. Errors are ignored. */
    void send(const std::string& datagram, const std::vector<std::string>& addresses);

private:
    net::asio::awaitable<void> receive();

    net::asio::any_io_executor executor_;
    message_handler on_message_;
    net::error_hook on_error_;
    net::asio::ip::udp::socket socket_;
    std::array<char, max_datagram_bytes> buffer_{};
};

} // namespace knapweed::gateway
