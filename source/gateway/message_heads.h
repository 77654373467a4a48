#pragma once

#include "gateway/caller_exchange.h"
#include "gateway/http_dialect.h"

namespace knapweed::gateway {

/** Appends a header line to @p out. */
void append_field(std::string& out, std::string_view name, std::string_view value);

/** What a server is told of the client account of a request. */
struct account_statement {
    /** The configuration has accounts: what the caller stated of its key and account is left out. */
    bool replaces_fields = false;
    std::string_view account; ///< empty for none
};

/** @returns the head of a forwarded request: the caller's head without hop-by-hop fields, with the
    remaining time limit and the id of the expected server.
    @param time_left until the answer must arrive. @param target_server the only server that may run the
   request. */
[[nodiscard]] std::string make_request_head(const caller_request& request, const http_dialect& dialect,
                                            core::duration time_left, const core::server_id& target_server,
                                            const account_statement& account = {});

/** @returns the head of a request that is relayed to another instance: the caller's head without hop-by-hop
    fields and without the id of a server, with the remaining time limit and the fields of `relay_fields.h`.
    @param time_left until the answer must arrive. @param own id of this instance. @param max_sends number of
    servers to which the other instance may send the request. */
[[nodiscard]] std::string make_relay_head(const caller_request& request, const http_dialect& dialect,
                                          core::duration time_left, const core::instance_id& own,
                                          unsigned max_sends);

/** @returns the head of a forwarded answer: that of the server's answer on @p connection without hop-by-hop
    fields.
    @param method of the request. */
[[nodiscard]] answer_head make_answer_head(const net::client_connection& connection, std::string_view method);

/** @returns the head of an answer that the gateway itself generates. @param request_id empty when the request
    has none. */
[[nodiscard]] answer_head make_gateway_head(const http_dialect& dialect, std::string_view request_id,
                                            unsigned status, std::string_view reason);

/** @returns a time in seconds with three decimal places. */
[[nodiscard]] std::string format_seconds(core::duration time);

/** @returns the time that a number of seconds, with or without a fraction, states; 0 for any other text, and
    for a negative number or one above an hour. */
[[nodiscard]] core::duration parse_seconds(std::string_view text);

/** @returns the time that a number of seconds, with or without a fraction, states, at most an hour; nothing
    for any other text, a date and a negative number among them. */
[[nodiscard]] std::optional<core::duration> parse_rest(std::string_view text);

/** @returns the time that a whole number of milliseconds states, at most a day; nothing for any other text.
 */
[[nodiscard]] std::optional<core::milliseconds> parse_milliseconds(std::string_view text);

/** @returns how long an idle connection may be kept for reuse, from the `timeout` parameter of the server's
    Keep-Alive field; at most an hour, and a default when it is absent. */
[[nodiscard]] core::duration usable_idle_time(std::string_view keep_alive);

} // namespace knapweed::gateway
