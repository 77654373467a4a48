#pragma once

#include <string_view>

namespace knapweed::gateway {

/** @returns whether two header field names are equal, ignoring case. */
[[nodiscard]] bool is_same_field(std::string_view a, std::string_view b);

/** @returns the text without leading and trailing spaces and tabs. */
[[nodiscard]] std::string_view trim(std::string_view text);

} // namespace knapweed::gateway
