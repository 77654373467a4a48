#pragma once

#include "decision/action.h"
#include "decision/event.h"
#include "net/http_client.h"
#include "net/telemetry.h"

namespace knapweed::net {

/** Probes backend servers for their health and load. Used by the control thread only. */
class server_prober {
public:
    /** @param timeout of one probe. */
    server_prober(http_client& client, core::milliseconds timeout, telemetry& reports);

    /** Sends one `GET /health`. @returns the event with the report, or with `reached` false. */
    asio::awaitable<decision::server_probed> probe(decision::probe_server action);

private:
    http_client& client_;
    core::milliseconds timeout_;
    telemetry& reports_;
};

/** @returns the report in the answer to `GET /health`. Any status but 200 means an unhealthy server, such as
    503.
*/
[[nodiscard]] decision::server_report read_health(unsigned http_status, const std::string& body);

} // namespace knapweed::net
