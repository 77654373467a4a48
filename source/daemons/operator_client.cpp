#include "daemons/operator_client.h"

#include "net/answer_head.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>

namespace knapweed::daemons {

namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using boost::asio::ip::tcp;

constexpr std::uint64_t reply_limit_bytes = 64U << 20U; ///< enough for the history of a large configuration

/** Runs one asynchronous operation until it completes. Beast has timeouts for asynchronous operations only.
    @returns whether it succeeded. */
template <typename Start>
bool run_operation(boost::asio::io_context& context, Start start)
{
    beast::error_code result = boost::asio::error::would_block;
    start([&result](beast::error_code error, auto&&...) { result = error; });
    context.restart();
    context.run();
    return !result;
}

/** @returns the endpoint of an address that `state::is_address` accepts. */
tcp::endpoint endpoint_of(const std::string& address)
{
    const auto colon = address.rfind(':');
    auto host = address.substr(0, colon);
    if (host.starts_with('['))
        host = host.substr(1, host.size() - 2);
    std::uint16_t port = 0;
    std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
    beast::error_code error;
    return {boost::asio::ip::make_address(host, error), port};
}

} // namespace

operators::call_result call_instance(const std::string& address, const std::string& request,
                                     core::milliseconds timeout)
{
    boost::asio::io_context context;
    beast::tcp_stream stream{context};
    stream.expires_after(connect_timeout);
    const auto endpoint = endpoint_of(address);
    if (!run_operation(context, [&](auto done) { stream.async_connect(endpoint, std::move(done)); }))
        return {};

    http::request<http::string_body> message{http::verb::post, "/operator", 11, request};
    message.set(http::field::host, address);
    message.set(http::field::content_type, "application/json");
    message.set(http::field::connection, "close");
    message.prepare_payload();
    stream.expires_after(timeout);
    if (!run_operation(context, [&](auto done) { http::async_write(stream, message, std::move(done)); }))
        return {};

    beast::flat_buffer buffer;
    http::response_parser<http::string_body> reply;
    reply.body_limit(reply_limit_bytes);
    if (!run_operation(context, [&](auto done) { http::async_read(stream, buffer, reply, std::move(done)); }))
        return {};
    // Instances state the length of their answers; one that ends with the connection may be cut off.
    if (net::check_answer_head(reply.get()) || reply.need_eof())
        return {};
    return {true, std::move(reply.get().body())};
}

} // namespace knapweed::daemons
