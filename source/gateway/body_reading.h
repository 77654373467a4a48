#pragma once

#include "gateway/body_claim.h"
#include "net/asio_types.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace knapweed::gateway {

using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

/** @returns the error of a body for which no memory is left. */
[[nodiscard]] net::error_code no_body_space();

/** @returns the length that a head states, nothing for a body in chunks. */
[[nodiscard]] std::optional<std::uint64_t> stated_length(const request_parser& parser);

/** Reads the body of a request whose head has been read.
    @param buffer holds what was received behind the head. @param claim to the memory of the body, which grows
   with a body in chunks. @returns `no_body_space` when the claim can't grow or is revoked, another error, or
   none. */
net::asio::awaitable<net::error_code> read_body(net::tcp::socket& socket, boost::beast::flat_buffer& buffer,
                                                request_parser& parser, body_claim& claim,
                                                const core::clock& time);

} // namespace knapweed::gateway
