#pragma once

#include "gateway/upstream_exchange.h"

namespace knapweed::gateway {

/** Sends a caller's request to another instance, which sends it to a server, and classifies the answer. */
class relay_sender {
public:
    /** @param own id of this instance. @param dialect and @p time must outlive this object. */
    relay_sender(core::instance_id own, const http_dialect& dialect, const core::clock& time);

    /** Carries out one step. This object, @p request and @p upstream must outlive the coroutine.
        @param upstream holds the answer and the beginning of its body when the outcome is `answered`.
        @returns `not_sent` only if no byte of the request was written, whatever ended the attempt. */
    net::asio::awaitable<steering::relay_result>
    relay(steering::relay_step step, const caller_request& request, upstream_exchange& upstream) const;

private:
    net::asio::awaitable<steering::relay_outcome> attempt(const steering::relay_step& step,
                                                          const caller_request& request,
                                                          upstream_exchange& upstream,
                                                          bool& unreachable) const;

    core::instance_id own_;
    const http_dialect& dialect_;
    const core::clock& time_;
};

} // namespace knapweed::gateway
