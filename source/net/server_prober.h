#pragma once

#include "decision/action.h"
#include "decision/event.h"
#include "net/http_client.h"
#include "net/telemetry.h"

namespace knapweed::net {

/** Asks backend servers for their health and load. Belongs to the control thread. */
class server_prober {
public:
    /** @param timeout of one probe. */
    server_prober(http_client& client, core::milliseconds timeout, telemetry& reports);

    asio::awaitable<decision::server_probed> probe(decision::probe_server action);

private:
    http_client& client_;
    core::milliseconds timeout_;
    telemetry& reports_;
};

/** @returns the report of a `GET /health` answer. A server that answers 503 is unhealthy. */
[[nodiscard]] decision::server_report read_health(unsigned http_status, const std::string& body);

} // namespace knapweed::net
