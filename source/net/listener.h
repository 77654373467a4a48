#pragma once

#include "net/asio_types.h"

namespace knapweed::net {

/** Opens an acceptor, binds it to an address and listens. @returns the first error, if any. */
[[nodiscard]] error_code open_listener(tcp::acceptor& acceptor, const tcp::endpoint& address);

} // namespace knapweed::net
