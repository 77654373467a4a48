#pragma once

#include "net/http_client.h"
#include "net/telemetry.h"
#include "state/platform.h"

#include <string>

namespace knapweed::net {

/** Executes calls to the platform's table service, object store and instance list. Used by the control thread
    only.
*/
class platform_client {
public:
    platform_client(http_client& client, std::string address, telemetry& reports);

    /** @returns the reply, within the call's timeout. It is `unreachable` only if nothing was sent. */
    asio::awaitable<state::platform_reply> execute(state::platform_call call);

private:
    http_client& client_;
    std::string address_;
    telemetry& reports_;
};

/** @returns the HTTP request for an operation. @param body receives the body, to which the request refers. */
[[nodiscard]] outgoing_request make_platform_request(const state::platform_operation& operation,
                                                     std::string& body);

/** Parses the platform's answer into a reply. An unexpected status or body is treated as a lost answer
    (`timed_out`).
*/
void read_platform_answer(const state::platform_operation& operation, unsigned http_status, std::string body,
                          state::platform_reply& reply);

} // namespace knapweed::net
