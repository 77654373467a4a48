#pragma once

#include "gateway/caller_exchange.h"
#include "gateway/http_dialect.h"

namespace knapweed::gateway {

/** Appends a header line to @p out. */
void append_field(std::string& out, std::string_view name, std::string_view value);

/** @returns the head with which a request is passed on: the caller's, without what concerns its connection
   only.
    @param time_left for the answer. @param expected no other server may run the request. */
[[nodiscard]] std::string make_request_head(const caller_request& request, const http_dialect& dialect,
                                            core::duration time_left, const core::server_id& expected);

/** @returns the head with which the server's answer on @p connection is passed on.
    @param method of the request. */
[[nodiscard]] answer_head make_answer_head(const net::client_connection& connection, std::string_view method);

/** @returns the head of an answer of our own. @param request_id empty when the request had none. */
[[nodiscard]] answer_head make_own_head(const http_dialect& dialect, std::string_view request_id,
                                        unsigned status, std::string_view reason);

/** @returns a time in seconds with milliseconds. */
[[nodiscard]] std::string format_seconds(core::duration time);

/** @returns the time for which a connection may be kept unused, by the `timeout` of the server's Keep-Alive
 * field. */
[[nodiscard]] core::duration usable_idle_time(std::string_view keep_alive);

} // namespace knapweed::gateway
