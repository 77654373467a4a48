#pragma once

#include "operators/control_session.h"

namespace knapweed::daemons {

/** Time limit for opening a connection to an instance. */
inline constexpr core::milliseconds connect_timeout{2000};

/** Sends a JSON-RPC request to `POST /operator` of an instance and waits for the reply.
    @param timeout of the write and the read together; connecting has the separate limit `connect_timeout`.
    @returns a result with `reached` false if no whole reply arrived in time. */
[[nodiscard]] operators::call_result call_instance(const std::string& address, const std::string& request,
                                                   core::milliseconds timeout);

} // namespace knapweed::daemons
