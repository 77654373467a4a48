#include "gateway/link_prober.h"

#include "gateway/answer_rules.h"
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
    for (const auto& server : steerer_.links().next_probes()) {
        start_probe(*server, [this, id = server->record().id](steering::connect_failure failure) {
            steerer_.links().record_probe(id, failure == steering::connect_failure::none);
        });
    }
    for (const auto& server : steerer_.quarantine().server_ends().next_checks()) {
        start_probe(*server, [this, id = server->record().id](steering::connect_failure failure) {
            steerer_.quarantine().server_ends().record_connection(id, failure);
        });
    }
    const auto state = steerer_.links().state();
    if (state == logged_state_)
        return false;
    logged_state_ = state;
    log_.info(json_line("server_paths").add("state", core::name_of(state)));
    return true;
}

void link_prober::start_probe(const steering::backend_server& server, result_handler on_result)
{
    const auto& record = server.record();
    const auto limit = connect_limit(steerer_.distances(), {record.data_centre, server.region()});
    // After an unexpected error the server counts as one that doesn't respond, since each probe needs a
    // result.
    asio::co_spawn(executor_, probe(record.address, limit),
                   [this, on_result = std::move(on_result)](const std::exception_ptr& error,
                                                            steering::connect_failure failure) {
                       if (error)
                           on_error_(net::describe(error));
                       on_result(error ? steering::connect_failure::timed_out : failure);
                   });
}

asio::awaitable<steering::connect_failure> link_prober::probe(std::string address, core::duration limit) const
{
    const auto remote = net::parse_address(address);
    if (!remote)
        co_return steering::connect_failure::other;
    net::tcp::socket socket(executor_);
    const net::time_limit connect_limit(executor_, limit, [&socket] {
        net::error_code ignored;
        socket.close(ignored);
    });
    const auto [error] = co_await socket.async_connect(*remote, net::as_result);
    co_return classify_connect_error(error, connect_limit.expired());
}

} // namespace knapweed::gateway
