#pragma once

#include "net/asio_types.h"

namespace knapweed::net {

/** Binds a closed acceptor to an address and listens there. @returns what failed first, if anything. */
[[nodiscard]] error_code open_listener(tcp::acceptor& acceptor, const tcp::endpoint& address);

} // namespace knapweed::net
