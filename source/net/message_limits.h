#pragma once

#include <cstddef>
#include <cstdint>

namespace knapweed::net {

/** Maximum number of received bytes of one connection that wait to be parsed, beyond a complete head. It also
   limits a single chunk extension and the trailers of a message, which the parser needs as a whole. */
inline constexpr std::size_t max_unparsed_bytes = std::size_t{64} * 1024;

/** Limits on the parts of a message that are not its body: chunk sizes, chunk extensions and trailers. No
   limit on bodies covers them, so without a limit of their own they could go on without end.

    @param received bytes after the head, framing included. @param body bytes of the body among them.
    @returns whether the framing exceeds any proportion to the body that a working sender produces.
*/
[[nodiscard]] constexpr bool has_excessive_framing(std::uint64_t received, std::uint64_t body)
{
    constexpr std::uint64_t framing_allowance_bytes = max_unparsed_bytes;
    constexpr std::uint64_t framing_bytes_per_body_byte = 8; // a chunk of one byte has five bytes of framing
    return received > body && received - body > framing_allowance_bytes + body * framing_bytes_per_body_byte;
}

} // namespace knapweed::net
