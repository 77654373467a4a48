#pragma once

#include "decision/action.h"
#include "net/event_port.h"
#include "net/http_client.h"
#include "net/platform_client.h"
#include "net/server_prober.h"

#include <atomic>
#include <boost/asio/io_context.hpp>

namespace knapweed::net {

/** Address of the platform and timeout of a probe. */
struct control_options {
    std::string platform_address;
    core::milliseconds probe_timeout{1000};
};

/** The work of the control thread: calls to the platform and probes of backend servers. */
class control_service {
public:
    /** @param events ring to the decision thread. @param actions ring from the decision thread.
        @param decision_thread notified after events were added. All must outlive this object. */
    control_service(control_options options, ring<decision::event>& events, ring<decision::action>& actions,
                    wake_signal& decision_thread, telemetry& reports);
    control_service(const control_service&) = delete;
    control_service& operator=(const control_service&) = delete;
    ~control_service();

    /** Runs until `stop`. */
    void run();
    /** Ends `run` and abandons calls in progress. May be called from any thread. */
    void stop();
    /** Schedules the execution of the actions in the ring. May be called from any thread. */
    void wake();

private:
    void drain_actions();
    asio::awaitable<void> run_maintenance();
    asio::awaitable<void> probe(decision::probe_server action);
    asio::awaitable<void> call(state::platform_call call);

    asio::io_context io_{1};
    ring<decision::action>& actions_;
    telemetry& reports_;
    std::atomic<bool> wake_pending_ = false;
    event_port events_;
    core::boot_clock time_;
    http_client client_;
    platform_client platform_;
    server_prober prober_;
};

} // namespace knapweed::net
