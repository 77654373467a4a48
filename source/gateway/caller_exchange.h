#pragma once

#include "core/core.h"
#include "gateway/body_claim.h"
#include "gateway/pass_on_order.h"
#include "net/asio_types.h"
#include "net/client_connection.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace knapweed::gateway {

class caller_session;

/** Why the body of a request was not read to its end. */
struct body_refusal {
    core::duration retry_after{0}; ///< zero when the body can never fit
};

/** A request as it was read from a caller, with its whole body unless that was refused. */
struct caller_request {
    std::string method;
    std::string target; ///< path and query, as received
    std::vector<net::header_field> fields;
    std::string body;
    body_claim claim;                         ///< to the memory of the body
    std::optional<body_refusal> body_refused; ///< the request is not to be run
    std::string caller;                       ///< address of the caller, without its port
    bool keep_alive = true;
    core::time_point received; ///< when its first byte was read

    /** @returns the target without its query. */
    [[nodiscard]] std::string_view path() const;
    /** @returns the value of a query parameter, empty when absent. */
    [[nodiscard]] std::string_view query(std::string_view name) const;
    /** @returns the value of the first field with this name, empty when absent. */
    [[nodiscard]] std::string_view field(std::string_view name) const;
    /** @returns the number of fields with this name. */
    [[nodiscard]] std::size_t count(std::string_view name) const;
    /** @returns the value of a cookie, empty when absent. */
    [[nodiscard]] std::string_view cookie(std::string_view name) const;
};

/** Status and header fields of an answer, without hop-by-hop fields. */
struct answer_head {
    unsigned status = 200;
    std::string reason;
    std::string fields;                           ///< header lines, each terminated by CRLF
    std::optional<std::uint64_t> declared_length; ///< Content-Length of an answer to HEAD, which has no body
};

/** One request of a caller and its answer.

    Answers are written in the order of the connection's requests, so `answer` and `begin_answer` wait until
    all earlier requests are answered. The functions that write return false when the caller has disconnected.
*/
class caller_exchange {
public:
    caller_exchange(std::shared_ptr<caller_session> session, caller_request request);
    caller_exchange(const caller_exchange&) = delete;
    caller_exchange& operator=(const caller_exchange&) = delete;
    ~caller_exchange();

    [[nodiscard]] const caller_request& request() const noexcept { return request_; }
    [[nodiscard]] caller_request& request() noexcept { return request_; }
    [[nodiscard]] bool caller_disconnected() const noexcept { return caller_disconnected_; }
    /** Checks the socket for a connection that the caller has closed. When the process is overloaded, a
        request may be read long after its caller has disconnected, and the end of the connection is read even
        later.
        @returns whether the caller has disconnected. */
    [[nodiscard]] bool detect_disconnect();
    /** Sets a function that is called at most once, when the caller's connection ends before the answer. */
    void on_caller_disconnected(std::function<void()> callback)
    {
        on_caller_disconnected_ = std::move(callback);
    }

    /** Waits until the request may be passed on to a server. @returns false when the caller has disconnected.
        @see pass_on_order */
    net::asio::awaitable<bool> wait_to_pass_on();
    /** Records that the request is passed on. @param in_parts its answer is known to be written in parts. */
    void pass_on(bool in_parts);
    /** @returns whether requests behind this one on the connection have been passed on. */
    [[nodiscard]] bool others_passed_on_behind() const;

    /** Writes a complete answer. */
    net::asio::awaitable<bool> answer(const answer_head& head, std::string_view body);

    /** Writes the head of an answer whose body follows in parts. @param length of the body; without one, the
        body is sent in chunks. */
    net::asio::awaitable<bool> begin_answer(const answer_head& head, std::optional<std::uint64_t> length);
    net::asio::awaitable<bool> write_body(std::string_view part);
    /** Completes an answer that `begin_answer` began. */
    net::asio::awaitable<bool> end_answer();
    /** Ends the connection of an answer that can't be completed, so that the caller detects that it is
        truncated. */
    void abort_answer();

private:
    friend class caller_session;

    void mark_disconnected();
    [[nodiscard]] std::string make_head(const answer_head& head, std::string_view framing,
                                        bool keep_alive) const;
    net::asio::awaitable<bool> wait_for_turn();
    net::asio::awaitable<void> wait_for_signal();

    std::shared_ptr<caller_session> session_;
    caller_request request_;
    pass_on_order::request_number number_ = 0; ///< assigned by the session
    std::function<void()> on_caller_disconnected_;
    std::optional<net::asio::steady_timer> signal_; ///< cancelled when the connection's other requests get on
    bool caller_disconnected_ = false;
    bool chunked_ = false;
    bool keep_alive_ = true;
};

} // namespace knapweed::gateway
