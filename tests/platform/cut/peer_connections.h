#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace knapweed::soak {

/** @returns this machine's TCP connections over IPv4 whose remote port is one of @p ports, as the kernel
   writes their local and remote addresses; also those that open or have ended in the last minute. */
[[nodiscard]] std::set<std::string> connections_to(const std::set<std::uint16_t>& ports);

} // namespace knapweed::soak
