#pragma once

#include "decision/decision.h"
#include "net/net.h"
#include "operators/command_service.h"
#include "settings.pb.h"

#include <boost/asio/io_context.hpp>

namespace knapweed::daemons {

/** One entry instance: the decision object and the four threads network, control, decision and telemetry. */
class entry_daemon {
public:
    explicit entry_daemon(const wire::settings& settings);

    /** Serves until a graceful shutdown, which a signal starts, is complete.

        @returns the exit status: 0, or 1 when the address can't be listened on.
    */
    int run();

private:
    void run_telemetry();
    net::asio::awaitable<void> write_logs();

    std::string listen_address_;
    core::system_clock clock_;
    core::incarnation incarnation_;
    net::telemetry reports_;
    net::decision_rings rings_;
    decision::entry_node node_;
    operators::command_service commands_;
    net::network_service network_;
    net::control_service control_;
    net::decision_loop decision_loop_;
    net::asio::io_context telemetry_io_{1};
};

} // namespace knapweed::daemons
