#include "stand_ins/http/http_client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace knapweed::stand_ins {

namespace {

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

/** Age at which idle connections are discarded. It lies well below the servers' idle timeout, so that
    a server rarely closes a connection just as it is reused. */
constexpr core::milliseconds idle_limit{1000};

/** @returns whether the peer has neither closed the connection nor sent unexpected data on it. */
bool is_reusable(tcp::socket& socket)
{
    boost::system::error_code error;
    char byte = 0;
    socket.non_blocking(true, error);
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

exchange_status failure(const boost::system::error_code& error, exchange_status fallback_status)
{
    return error == beast::error::timeout ? exchange_status::timed_out : fallback_status;
}

} // namespace

http_client::http_client(asio::any_io_executor executor) : executor_(std::move(executor)) {}

std::unique_ptr<beast::tcp_stream> http_client::take_idle(const tcp::endpoint& server)
{
    auto& connections = idle_[server];
    const core::time_point now = std::chrono::steady_clock::now();
    while (!connections.empty()) {
        idle_connection connection = std::move(connections.back());
        connections.pop_back();
        if (now - connection.since < idle_limit && is_reusable(connection.stream->socket()))
            return std::move(connection.stream);
    }
    return nullptr;
}

asio::awaitable<exchange_result> http_client::exchange(tcp::endpoint server, http_request request,
                                                       core::milliseconds timeout)
{
    std::unique_ptr<beast::tcp_stream> stream = take_idle(server);
    const bool reused = stream != nullptr;
    if (!reused)
        stream = std::make_unique<beast::tcp_stream>(executor_);
    stream->expires_after(timeout);
    if (!reused) {
        const auto [connect_error] = co_await stream->async_connect(server, use_tuple);
        if (connect_error)
            co_return exchange_result{};
        boost::system::error_code ignored;
        stream->socket().set_option(tcp::no_delay{true}, ignored);
    }
    exchange_result result = co_await exchange_on(*stream, std::move(request));
    if (result.status == exchange_status::answered && result.response.keep_alive()) {
        stream->expires_never();
        idle_[server].push_back({std::move(stream), std::chrono::steady_clock::now()});
    }
    co_return result;
}

asio::awaitable<exchange_result> http_client::exchange_on(beast::tcp_stream& stream, http_request request)
{
    exchange_result result;
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(body_limit_bytes);
    request.prepare_payload();
    const auto [write_error, written_bytes] = co_await http::async_write(stream, request, use_tuple);
    // A server may answer and close before it has read the whole body, so the answer is read in any case.
    if (write_error == beast::error::timeout) {
        result.status = exchange_status::timed_out;
        co_return result;
    }
    const auto [header_error, header_bytes] =
        co_await http::async_read_header(stream, buffer, parser, use_tuple);
    if (header_error) {
        result.status = failure(header_error, exchange_status::no_answer);
        co_return result;
    }
    const bool framed = parser.chunked() || parser.content_length();
    const auto [body_error, body_bytes] = co_await http::async_read(stream, buffer, parser, use_tuple);
    result.status = body_error ? failure(body_error, exchange_status::broken_off)
                    : framed   ? exchange_status::answered
                               : exchange_status::broken_off;
    result.response = parser.release();
    co_return result;
}

asio::awaitable<std::optional<nlohmann::json>>
http_client::fetch_json(tcp::endpoint server, std::string target, core::milliseconds timeout)
{
    http_request request{http::verb::get, target, 11};
    request.set(http::field::host, "127.0.0.1");
    const exchange_result result = co_await exchange(server, std::move(request), timeout);
    if (result.status != exchange_status::answered || result.response.result() != http::status::ok)
        co_return std::nullopt;
    nlohmann::json body = nlohmann::json::parse(result.response.body(), nullptr, false);
    if (body.is_discarded())
        co_return std::nullopt;
    co_return body;
}

} // namespace knapweed::stand_ins
