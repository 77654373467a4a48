#pragma once

#include "gateway/status_codec.h"
#include "net/asio_types.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <functional>

namespace knapweed::gateway {

/** Sends messages to the other instances and receives theirs, as datagrams. A lost one is made good by
   the next; nothing waits for an answer. */
class peer_link {
public:
    /** Longer datagrams are cut off by the receiver. */
    static constexpr std::size_t largest_datagram = 8192;

    using receiver = std::function<void(const peer_message&)>;

    peer_link(const net::asio::any_io_executor& executor, receiver received);

    [[nodiscard]] net::error_code open(const net::asio::ip::udp::endpoint& address);
    void send(const std::string& datagram, const std::vector<std::string>& addresses);

private:
    net::asio::awaitable<void> receive();

    net::asio::any_io_executor executor_;
    receiver received_;
    net::asio::ip::udp::socket socket_;
    std::array<char, largest_datagram> buffer_{};
};

} // namespace knapweed::gateway
