#include "stand_ins/http/http_server.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <set>

namespace knapweed::stand_ins {

namespace {

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

} // namespace

struct http_server::shared_state {
    shared_state(const asio::any_io_executor& executor, handler answer_request)
        : acceptor(executor), answer(std::move(answer_request))
    {}

    tcp::acceptor acceptor;
    handler answer;
    std::set<tcp::socket*> open_sockets;
    std::uint64_t generation = 0; ///< incremented by close(), which ends accept loops started before it
};

http_server::http_server(const asio::any_io_executor& executor, handler answer)
    : state_(std::make_shared<shared_state>(executor, std::move(answer)))
{}

http_server::~http_server()
{
    close();
}

void http_server::listen(std::uint16_t port)
{
    const tcp::endpoint endpoint{asio::ip::address_v4::loopback(), port};
    state_->acceptor.open(endpoint.protocol());
    state_->acceptor.set_option(tcp::acceptor::reuse_address{true});
    state_->acceptor.bind(endpoint);
    state_->acceptor.listen();
    asio::co_spawn(state_->acceptor.get_executor(), accept(state_, state_->generation), asio::detached);
}

void http_server::close()
{
    boost::system::error_code ignored;
    ++state_->generation;
    state_->acceptor.close(ignored);
    for (tcp::socket* socket : state_->open_sockets)
        socket->close(ignored);
}

std::uint16_t http_server::port() const
{
    return state_->acceptor.local_endpoint().port();
}

asio::awaitable<void> http_server::accept(std::shared_ptr<shared_state> state, std::uint64_t generation)
{
    while (state->generation == generation) {
        auto [error, socket] = co_await state->acceptor.async_accept(use_tuple);
        if (error == asio::error::operation_aborted || state->generation != generation)
            co_return;
        if (!error)
            asio::co_spawn(state->acceptor.get_executor(), serve(state, std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> http_server::serve(std::shared_ptr<shared_state> state, tcp::socket socket)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay{true}, ignored);
    beast::flat_buffer buffer;
    state->open_sockets.insert(&socket);
    while (socket.is_open()) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(body_limit_bytes);
        const auto [read_error, read_bytes] = co_await http::async_read(socket, buffer, parser, use_tuple);
        if (read_error)
            break;
        const bool keep_alive = parser.get().keep_alive();
        std::optional<http_response> response = co_await state->answer(parser.release());
        if (!response || !socket.is_open())
            break;
        response->keep_alive(keep_alive && response->keep_alive());
        const auto [write_error, written_bytes] = co_await http::async_write(socket, *response, use_tuple);
        if (write_error || !response->keep_alive())
            break;
    }
    state->open_sockets.erase(&socket);
    socket.close(ignored);
}

} // namespace knapweed::stand_ins
