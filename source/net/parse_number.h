#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace knapweed::net {

/** @returns the unsigned number that the whole text represents; nothing for any other text. */
[[nodiscard]] std::optional<std::uint64_t> parse_number(std::string_view text, int base = 10);

} // namespace knapweed::net
