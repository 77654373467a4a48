#include "tcp_proxy.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

namespace knapweed::soak {

namespace asio = net::asio;

namespace {

constexpr core::milliseconds fault_delay{120};

} // namespace

tcp_proxy::tcp_proxy(asio::any_io_executor executor, net::tcp::endpoint target)
    : executor_(std::move(executor)), target_(std::move(target)),
      acceptor_(executor_, {asio::ip::address_v4::loopback(), 0})
{
    asio::co_spawn(executor_, accept(), asio::detached);
}

asio::awaitable<void> tcp_proxy::accept()
{
    for (;;) {
        auto [error, socket] = co_await acceptor_.async_accept(net::as_result);
        if (error)
            co_return;
        auto opened =
            std::make_shared<connection>(connection{std::move(socket), net::tcp::socket(executor_)});
        std::erase_if(connections_, [](const auto& weak) { return weak.expired(); });
        connections_.push_back(opened);
        asio::co_spawn(executor_, open(std::move(opened)), asio::detached);
    }
}

asio::awaitable<void> tcp_proxy::open(connection_pointer opened)
{
    const auto [error] = co_await opened->far_side.async_connect(target_, net::as_result);
    if (error) {
        net::error_code ignored;
        opened->near_side.close(ignored);
        co_return;
    }
    asio::co_spawn(executor_, forward(opened, true), asio::detached);
    co_await forward(opened, false);
}

bool tcp_proxy::loses(bool requests) const
{
    return fault_ == link_fault::silent ||
           fault_ == (requests ? link_fault::requests_lost : link_fault::answers_lost);
}

asio::awaitable<void> tcp_proxy::forward(connection_pointer from, bool requests)
{
    auto& source = requests ? from->near_side : from->far_side;
    auto& sink = requests ? from->far_side : from->near_side;
    std::array<char, 16384> buffer{};
    bool lost = false; // bytes are missing: nothing more may pass
    for (;;) {
        const auto [error, bytes] = co_await source.async_read_some(asio::buffer(buffer), net::as_result);
        lost = lost || loses(requests);
        if (error) {
            net::error_code ignored;
            if (!lost)
                sink.shutdown(net::tcp::socket::shutdown_send, ignored);
            co_return;
        }
        if (lost)
            continue;
        if (fault_ == link_fault::delayed) {
            asio::steady_timer pause(executor_, fault_delay);
            co_await pause.async_wait(net::as_result);
        }
        const auto [write_error, written] =
            co_await asio::async_write(sink, asio::buffer(buffer.data(), bytes), net::as_result);
        if (write_error) {
            net::error_code ignored;
            source.close(ignored);
            co_return;
        }
    }
}

void tcp_proxy::reset_connections()
{
    for (const auto& weak : connections_) {
        const auto open_connection = weak.lock();
        if (!open_connection)
            continue;
        for (auto* socket : {&open_connection->near_side, &open_connection->far_side}) {
            net::error_code ignored;
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
    }
}

} // namespace knapweed::soak
