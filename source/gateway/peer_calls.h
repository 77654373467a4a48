#pragma once

#include <string_view>

namespace knapweed::gateway {

/** Path of the calls by which an instance takes a copy of the operators' table from another one, at the
   address for relayed requests. */
inline constexpr std::string_view copies_path = "/copies/operators";

} // namespace knapweed::gateway
