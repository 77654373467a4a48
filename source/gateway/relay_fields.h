#pragma once

#include <string_view>

namespace knapweed::gateway {

/** Fields that an instance adds to a request when it relays it to another instance, which removes them. */
/** Id of the instance that relays, and after the separator the address of the caller. */
inline constexpr std::string_view relay_field = "Knapweed-Relay";
inline constexpr char relay_separator = ';';
/** Number of servers to which the receiving instance may send the request. */
inline constexpr std::string_view relay_sends_field = "Knapweed-Sends";
/** Field of each answer that an instance itself generates: the reason. */
inline constexpr std::string_view reason_field = "Knapweed-Reason";

} // namespace knapweed::gateway
