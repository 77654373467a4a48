#pragma once

#include "core/core.h"
#include "net/asio_types.h"

#include <list>

namespace knapweed::soak {

/** What a proxy does to the connections through it. */
enum class link_fault { none, delayed, answers_lost, requests_lost, silent };

/** A proxy on loopback whose connections can be delayed, cut in one or both directions, and reset. */
class tcp_proxy {
public:
    /** @param target address of the server behind it. */
    tcp_proxy(net::asio::any_io_executor executor, net::tcp::endpoint target);

    [[nodiscard]] net::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
    void set_target(net::tcp::endpoint target) { target_ = std::move(target); }
    void set_fault(link_fault fault) { fault_ = fault; }
    /** Resets all open connections. */
    void reset_connections();

private:
    struct connection {
        net::tcp::socket near_side;
        net::tcp::socket far_side;
    };
    using connection_pointer = std::shared_ptr<connection>;

    net::asio::awaitable<void> accept();
    net::asio::awaitable<void> open(connection_pointer opened);
    net::asio::awaitable<void> forward(connection_pointer from, bool requests);
    [[nodiscard]] bool loses(bool requests) const;

    net::asio::any_io_executor executor_;
    net::tcp::endpoint target_;
    net::tcp::acceptor acceptor_;
    std::list<std::weak_ptr<connection>> connections_;
    link_fault fault_ = link_fault::none;
};

} // namespace knapweed::soak
