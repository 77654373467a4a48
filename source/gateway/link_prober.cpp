#include "gateway/link_prober.h"

#include "gateway/connect_limit.h"
#include "net/address.h"
#include "net/time_limit.h"

#include <boost/asio/co_spawn.hpp>

namespace knapweed::gateway {

namespace asio = net::asio;

link_prober::link_prober(asio::any_io_executor executor, steering::steerer& steerer, event_log& log,
                         net::error_hook on_error)
    : executor_(std::move(executor)), steerer_(steerer), log_(log), on_error_(std::move(on_error))
{}

bool link_prober::tick()
{
    for (const auto& server : steerer_.links().next_probes())
        start_probe(*server);
    const auto state = steerer_.links().state();
    if (state == logged_state_)
        return false;
    logged_state_ = state;
    log_.info(json_line("server_paths").add("state", core::name_of(state)));
    return true;
}

void link_prober::start_probe(const steering::backend_server& server)
{
    const auto& record = server.record();
    const auto limit = connect_limit(steerer_.distances(), {record.data_centre, server.region()});
    // After an unexpected error the server counts as one that can't be reached, since each probe needs a
    // result.
    asio::co_spawn(executor_, probe(record.address, limit),
                   [this, id = record.id](const std::exception_ptr& error, bool connected) {
                       if (error)
                           on_error_(net::describe(error));
                       steerer_.links().record_probe(id, !error && connected);
                   });
}

asio::awaitable<bool> link_prober::probe(std::string address, core::duration limit) const
{
    const auto remote = net::parse_address(address);
    if (!remote)
        co_return false;
    net::tcp::socket socket(executor_);
    const net::time_limit connect_limit(executor_, limit, [&socket] {
        net::error_code ignored;
        socket.close(ignored);
    });
    const auto [error] = co_await socket.async_connect(*remote, net::as_result);
    co_return !error;
}

} // namespace knapweed::gateway
