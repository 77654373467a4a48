#pragma once

#include <string_view>

namespace knapweed::gateway {

/** @returns whether two names of header fields are the same: their case does not matter. */
[[nodiscard]] bool is_same_field(std::string_view a, std::string_view b);

/** @returns the text without the spaces and tabs around it. */
[[nodiscard]] std::string_view trim(std::string_view text);

} // namespace knapweed::gateway
