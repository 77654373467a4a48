#pragma once

#include <string_view>

namespace knapweed::gateway {

/** @returns whether two names of header fields are the same: their case does not matter. */
[[nodiscard]] bool is_same_field(std::string_view a, std::string_view b);

} // namespace knapweed::gateway
