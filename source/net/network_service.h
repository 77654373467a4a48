#pragma once

#include "decision/action.h"
#include "net/dispatch_runner.h"
#include "net/http_server.h"
#include "net/peer_sender.h"

#include <atomic>
#include <boost/asio/io_context.hpp>

namespace knapweed::net {

/** Identity of the instance and limits of its HTTP server. */
struct network_options {
    core::instance_id instance;
    core::incarnation incarnation;
    server_limits limits;
};

/** The work of the network thread: the HTTP server, connections to peers and backend servers, and the actions
    that use them.
*/
class network_service {
public:
    /** @param events ring to the decision thread. @param actions ring from the decision thread.
        @param decision_thread notified after events were added. All must outlive this object. */
    network_service(const network_options& options, ring<decision::event>& events,
                    ring<decision::action>& actions, wake_signal& decision_thread, telemetry& reports);
    network_service(const network_service&) = delete;
    network_service& operator=(const network_service&) = delete;
    ~network_service();

    [[nodiscard]] error_code listen(const tcp::endpoint& address) { return server_.listen(address); }
    [[nodiscard]] std::uint16_t port() const { return server_.port(); }

    /** Sends `stop_requested` to the decision thread on the first SIGTERM or SIGINT. */
    void stop_on_signals();

    /** Replaces the function that produces the text of `/metrics`, for example by one that runs on the
        telemetry thread. */
    void use_metrics_text(std::function<asio::awaitable<std::string>()> source);

    /** Runs until the action `stop_now` was executed and open answers have been written. */
    void run();

    /** Schedules the execution of the actions in the ring. May be called from any thread. */
    void wake();

private:
    void drain_actions();
    void execute(decision::action& action);
    template <typename Answer>
    void answer(const Answer& action);
    void request_stop();
    asio::awaitable<void> run_maintenance();
    asio::awaitable<void> stop();

    asio::io_context io_{1};
    ring<decision::action>& actions_;
    telemetry& reports_;
    std::atomic<bool> wake_pending_ = false;
    event_port events_;
    exchange_table exchanges_;
    peer_rpc peer_rpc_;
    operator_rpc operator_rpc_;
    std::shared_ptr<server_context> context_;
    http_server server_;
    core::boot_clock time_;
    http_client client_;
    dispatch_runner dispatches_;
    peer_sender peers_;
};

} // namespace knapweed::net
