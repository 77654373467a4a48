#include "gateway/peer_link.h"

#include "net/address.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace knapweed::gateway {

namespace asio = net::asio;
using udp = asio::ip::udp;

namespace {

/** Pause after a failed receive, since the next one could fail again at once. */
constexpr core::milliseconds receive_pause{20};

} // namespace

peer_link::peer_link(const asio::any_io_executor& executor, message_handler on_message,
                     net::error_hook on_error)
    : executor_(executor), on_message_(std::move(on_message)), on_error_(std::move(on_error)),
      socket_(executor)
{}

net::error_code peer_link::open(const udp::endpoint& address)
{
    net::error_code error;
    socket_.open(address.protocol(), error);
    if (!error)
        socket_.bind(address, error);
    if (!error)
        socket_.non_blocking(true, error);
    if (!error)
        asio::co_spawn(executor_, net::run_lasting([this] { return receive(); }, on_error_), asio::detached);
    return error;
}

void peer_link::send(const std::string& datagram, const std::vector<std::string>& addresses)
{
    for (const auto& address : addresses) {
        const auto remote = net::parse_address(address);
        if (!remote)
            continue;
        // A datagram that can't be sent is treated like one that the network drops.
        net::error_code ignored;
        socket_.send_to(asio::buffer(datagram), udp::endpoint(remote->address(), remote->port()), 0, ignored);
    }
}

asio::awaitable<void> peer_link::receive()
{
    for (;;) {
        udp::endpoint sender;
        auto [error, bytes] =
            co_await socket_.async_receive_from(asio::buffer(buffer_), sender, net::as_result);
        if (error == asio::error::operation_aborted)
            co_return;
        if (error) {
            asio::steady_timer pause(executor_, receive_pause);
            co_await pause.async_wait(net::as_result);
            continue;
        }
        on_message_(decode_datagram({buffer_.data(), bytes}));
    }
}

} // namespace knapweed::gateway
