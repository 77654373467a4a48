#pragma once

#include "net/http_client.h"
#include "net/telemetry.h"
#include "state/platform.h"

#include <string>

namespace knapweed::net {

/** Executes calls to the platform's table service, object store and instance list. Belongs to the control
 * thread. */
class platform_client {
public:
    platform_client(http_client& client, std::string address, telemetry& reports);

    /** @returns the reply, within the call's timeout. `unreachable` only when nothing was sent. */
    asio::awaitable<state::platform_reply> execute(state::platform_call call);

private:
    http_client& client_;
    std::string address_;
    telemetry& reports_;
};

/** @returns the HTTP request for an operation. */
[[nodiscard]] outgoing_request make_platform_request(const state::platform_operation& operation,
                                                     std::string& body);

/** Reads the platform's answer into a reply. Anything unexpected counts as a lost answer (`timed_out`). */
void read_platform_answer(const state::platform_operation& operation, unsigned http_status, std::string body,
                          state::platform_reply& reply);

} // namespace knapweed::net
