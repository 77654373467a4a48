#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace knapweed::core {

/** @returns 16 lower-case hexadecimal digits. */
[[nodiscard]] std::string to_hex(std::uint64_t value);

/** @returns nothing unless the text is 16 lower-case hexadecimal digits. */
[[nodiscard]] std::optional<std::uint64_t> parse_hex(std::string_view text);

} // namespace knapweed::core
