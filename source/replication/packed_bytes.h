#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace knapweed::replication {

/** @returns the bytes in the zlib format (RFC 1950). */
[[nodiscard]] std::string pack(std::string_view bytes);

/** @returns the bytes that were packed, or nothing if they are damaged or not as many as @p size. */
[[nodiscard]] std::optional<std::string> unpack(std::string_view packed, std::size_t size);

} // namespace knapweed::replication
