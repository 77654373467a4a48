#include "net/listener.h"

namespace knapweed::net {

error_code open_listener(tcp::acceptor& acceptor, const tcp::endpoint& address)
{
    error_code error;
    acceptor.open(address.protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(address, error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    return error;
}

} // namespace knapweed::net
