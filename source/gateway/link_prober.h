#pragma once

#include "gateway/event_log.h"
#include "net/lasting_task.h"
#include "steering/steerer.h"

namespace knapweed::gateway {

/** Opens the connections by which an instance checks its paths to the servers, and whether a server has
   ended, and logs changes of the state of the paths. Owned by the gateway and used by its only thread. */
class link_prober {
public:
    /** @param steerer and @p log must outlive this object. @param on_error is called with each unexpected
        error. */
    link_prober(net::asio::any_io_executor executor, steering::steerer& steerer, event_log& log,
                net::error_hook on_error);

    /** Starts the probes that are due and reports their results to the steerer when they end; call it about
        every 100 ms. @returns whether the state of the paths has changed since the last call. */
    [[nodiscard]] bool tick();

private:
    using result_handler = std::function<void(steering::connect_failure)>;

    net::asio::awaitable<steering::connect_failure> probe(std::string address, core::duration limit) const;
    void start_probe(const steering::backend_server& server, result_handler on_result);

    net::asio::any_io_executor executor_;
    steering::steerer& steerer_;
    event_log& log_;
    net::error_hook on_error_;
    steering::link_state logged_state_ = steering::link_state::sound;
};

} // namespace knapweed::gateway
