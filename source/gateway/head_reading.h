#pragma once

#include "gateway/body_reading.h"

namespace knapweed::gateway {

/** Receives the whole head of a request into @p buffer, which then has to be parsed. While it is incomplete,
   its memory counts: many callers can keep heads open at a time.
    @param max_bytes a longer head is left to the parser, which rejects it. @param claim that grows with the
   buffer.
    @returns `no_body_space` when the claim can't grow or is revoked, another error, or none. */
net::asio::awaitable<net::error_code> receive_head(net::tcp::socket& socket,
                                                   boost::beast::flat_buffer& buffer, std::size_t max_bytes,
                                                   body_claim& claim, const core::clock& time);

/** @returns the memory that a request takes beside its body: its fields as text, parsed and copied. */
[[nodiscard]] std::uint64_t head_memory(std::size_t head_bytes);

} // namespace knapweed::gateway
