#pragma once

#include "net/asio_types.h"

#include <optional>
#include <string_view>

namespace knapweed::net {

/** @returns the endpoint for text such as `127.0.0.1:7001` or `[::1]:7001`; nothing if it is malformed. */
[[nodiscard]] std::optional<tcp::endpoint> parse_address(std::string_view text);

} // namespace knapweed::net
