#pragma once

#include "core/core.h"
#include "net/asio_types.h"

#include <list>
#include <optional>

namespace knapweed::soak {

/** How a link is cut. */
enum class link_cut {
    hang,   ///< new connections get no answer, and bytes on open ones vanish
    reset,  ///< open connections are reset, and new ones refused
    live_on ///< open connections live on, and new ones are refused
};

/** A proxy on loopback between one gateway and one server, which can be cut off and healed. */
class cut_link {
public:
    /** @param own address at which the gateway finds the server. @param target address of the server. */
    cut_link(net::asio::any_io_executor executor, net::tcp::endpoint own, net::tcp::endpoint target);

    [[nodiscard]] const net::tcp::endpoint& address() const noexcept { return own_; }
    void cut(link_cut kind);
    /** Opens the link again. Connections that lost bytes are reset. */
    void heal();

private:
    struct connection {
        net::tcp::socket near_side;
        net::tcp::socket far_side;
        bool swallows = false; ///< bytes vanish from now on
    };
    using connection_pointer = std::shared_ptr<connection>;

    void bind();
    void listen();
    void fill_backlog();
    void drop_backlog();
    void reset_connections();
    net::asio::awaitable<void> accept();
    net::asio::awaitable<void> open(connection_pointer opened);
    net::asio::awaitable<void> forward(connection_pointer from, bool requests);

    net::asio::any_io_executor executor_;
    net::tcp::endpoint own_;
    net::tcp::endpoint target_;
    net::tcp::acceptor acceptor_;
    std::list<net::tcp::socket> fillers_; ///< connections that wait in the acceptor's backlog
    std::list<std::weak_ptr<connection>> connections_;
    std::optional<link_cut> cut_;
};

} // namespace knapweed::soak

namespace knapweed::core {

template <>
struct names_of<soak::link_cut> {
    static constexpr std::array<std::string_view, 3> table{"hang", "reset", "live_on"};
};

} // namespace knapweed::core
