#include "cut_link.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

namespace knapweed::soak {

namespace asio = net::asio;

namespace {

constexpr int short_backlog = 1;
/** The kernel drops a SYN when more connections wait than the backlog says. */
constexpr int connections_that_fill = short_backlog + 1;

void reset(net::tcp::socket& socket)
{
    net::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

cut_link::cut_link(asio::any_io_executor executor, net::tcp::endpoint own, net::tcp::endpoint target)
    : executor_(std::move(executor)), own_(std::move(own)), target_(std::move(target)), acceptor_(executor_)
{
    bind();
    listen();
}

/** Takes the port without listening at it, so that connections are refused and nobody else takes it. */
void cut_link::bind()
{
    acceptor_.open(own_.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(own_);
}

void cut_link::listen()
{
    acceptor_.listen();
    asio::co_spawn(executor_, accept(), asio::detached);
}

void cut_link::cut(link_cut kind)
{
    cut_ = kind;
    if (kind == link_cut::hang) {
        acceptor_.cancel();
        fill_backlog();
        for (const auto& weak : connections_) {
            if (const auto open_connection = weak.lock())
                open_connection->swallows = true;
        }
        return;
    }
    acceptor_.close();
    bind();
    if (kind == link_cut::reset)
        reset_connections();
}

void cut_link::heal()
{
    if (cut_ == link_cut::hang) {
        drop_backlog();
        reset_connections();
    }
    cut_.reset();
    listen();
}

void cut_link::fill_backlog()
{
    acceptor_.listen(short_backlog);
    for (int i = 0; i < connections_that_fill; ++i) {
        fillers_.emplace_back(executor_);
        fillers_.back().async_connect(own_, [](net::error_code) {});
    }
}

void cut_link::drop_backlog()
{
    acceptor_.non_blocking(true);
    for (net::error_code error; !error;) {
        net::tcp::socket waiting(executor_);
        acceptor_.accept(waiting, error);
        if (!error)
            reset(waiting);
    }
    fillers_.clear();
}

void cut_link::reset_connections()
{
    for (const auto& weak : connections_) {
        if (const auto open_connection = weak.lock()) {
            reset(open_connection->near_side);
            reset(open_connection->far_side);
        }
    }
    connections_.clear();
}

asio::awaitable<void> cut_link::accept()
{
    for (;;) {
        auto [error, socket] = co_await acceptor_.async_accept(net::as_result);
        if (error || (cut_ && cut_ != link_cut::hang))
            co_return;
        auto opened = std::make_shared<connection>(
            connection{std::move(socket), net::tcp::socket(executor_), cut_.has_value()});
        std::erase_if(connections_, [](const auto& weak) { return weak.expired(); });
        connections_.push_back(opened);
        asio::co_spawn(executor_, open(std::move(opened)), asio::detached);
        if (cut_)
            co_return; // what waits in the backlog must go on filling it
    }
}

asio::awaitable<void> cut_link::open(connection_pointer opened)
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

asio::awaitable<void> cut_link::forward(connection_pointer from, bool requests)
{
    auto& source = requests ? from->near_side : from->far_side;
    auto& sink = requests ? from->far_side : from->near_side;
    std::array<char, 16384> buffer{};
    for (;;) {
        const auto [error, bytes] = co_await source.async_read_some(asio::buffer(buffer), net::as_result);
        if (error) {
            net::error_code ignored;
            if (!from->swallows)
                sink.shutdown(net::tcp::socket::shutdown_send, ignored);
            co_return;
        }
        if (from->swallows)
            continue;
        const auto [write_error, written] =
            co_await asio::async_write(sink, asio::buffer(buffer.data(), bytes), net::as_result);
        if (write_error) {
            net::error_code ignored;
            source.close(ignored);
            co_return;
        }
    }
}

} // namespace knapweed::soak
