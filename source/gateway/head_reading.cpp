#include "gateway/head_reading.h"

#include <algorithm>

namespace knapweed::gateway {

namespace {

constexpr std::size_t read_bytes = 2048;
/** The bytes of a head are in the buffer, in the parser and in the request. */
constexpr std::uint64_t head_copies = 3;
/** Of a request in progress without its texts: the objects of its session, its exchange and its forwarding.
 */
constexpr std::uint64_t request_overhead_bytes = 4096;

std::string_view content_of(const boost::beast::flat_buffer& buffer)
{
    return {static_cast<const char*>(buffer.data().data()), buffer.size()};
}

} // namespace

std::uint64_t head_memory(std::size_t head_bytes)
{
    return request_overhead_bytes + head_copies * head_bytes;
}

net::asio::awaitable<net::error_code> receive_head(net::tcp::socket& socket,
                                                   boost::beast::flat_buffer& buffer, std::size_t max_bytes,
                                                   body_claim& claim, const core::clock& time)
{
    constexpr std::string_view end_of_head = "\r\n\r\n";
    std::size_t searched = 0;
    for (;;) {
        const auto received = content_of(buffer);
        if (received.find(end_of_head, searched) != std::string_view::npos || received.size() > max_bytes)
            co_return net::error_code{};
        searched = received.size() - std::min(received.size(), end_of_head.size() - 1);
        if (!claim.cover(head_memory(buffer.capacity()), time.now()))
            co_return no_body_space();
        const auto room = std::min(read_bytes, buffer.max_size() - buffer.size());
        if (room == 0)
            co_return net::error_code{};
        auto [error, bytes] = co_await socket.async_read_some(buffer.prepare(room), net::as_result);
        if (error)
            co_return claim.revoked() && error == net::asio::error::operation_aborted ? no_body_space()
                                                                                      : error;
        buffer.commit(bytes);
    }
}

} // namespace knapweed::gateway
