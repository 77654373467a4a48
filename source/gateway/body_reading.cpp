#include "gateway/body_reading.h"

#include "net/message_limits.h"

namespace knapweed::gateway {

namespace asio = net::asio;
namespace http = boost::beast::http;

net::error_code no_body_space()
{
    return make_error_code(boost::system::errc::not_enough_memory);
}

std::optional<std::uint64_t> stated_length(const request_parser& parser)
{
    const auto length = parser.content_length();
    return length ? std::optional(*length) : std::nullopt;
}

asio::awaitable<net::error_code> read_body(net::tcp::socket& socket, boost::beast::flat_buffer& buffer,
                                           request_parser& parser, body_claim& claim, const core::clock& time)
{
    auto& body = parser.get().body();
    std::uint64_t received_bytes = 0;
    while (!parser.is_done()) {
        if (!claim.grow(body.size(), buffer.capacity(), time.now()))
            co_return no_body_space();
        if (!parser.content_length())
            body.reserve(claim.bytes());
        auto [error, bytes] = co_await http::async_read_some(socket, buffer, parser, net::as_result);
        if (error)
            co_return claim.revoked() && error == asio::error::operation_aborted ? no_body_space() : error;
        received_bytes += bytes;
        if (net::has_excessive_framing(received_bytes, body.size()))
            co_return http::error::buffer_overflow;
    }
    claim.body_is_whole();
    co_return net::error_code{};
}

} // namespace knapweed::gateway
