#include "port_block.h"

namespace knapweed::soak {

namespace asio = net::asio;

namespace {

/** Below the ports that the system gives to outgoing connections. */
constexpr std::uint64_t lowest_port = 10000;
constexpr std::uint64_t range = 22100;

} // namespace

port_block::port_block(const asio::any_io_executor& executor, core::random_source& random, std::size_t number)
{
    do {
        first_ = static_cast<std::uint16_t>(lowest_port + random.below(range));
    } while (!take(executor, number));
}

bool port_block::take(const asio::any_io_executor& executor, std::size_t number)
{
    holders_.clear();
    for (std::size_t i = 0; i < number; ++i) {
        auto& holder = holders_.emplace_back(executor);
        net::error_code error;
        holder.open(net::tcp::v4(), error);
        holder.bind({asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(first_ + i)}, error);
        if (error)
            return false;
        // Set after the bind, which so failed if anybody else had the port.
        holder.set_option(asio::socket_base::reuse_address(true));
    }
    return true;
}

} // namespace knapweed::soak
