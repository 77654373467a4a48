#pragma once

#include "gateway/answer_rules.h"
#include "gateway/caller_exchange.h"
#include "gateway/http_dialect.h"
#include "net/connection_pool.h"

namespace knapweed::gateway {

/** Sends a caller's request to an upstream on one connection, and reads the answer to it.

    Call `acquire`, `open` if the connection is new, `send`, `read_head` and `buffer_body`; then read the rest
    of the body, and `release` the connection. `acquire` begins the next attempt. Owned by the request that is
    forwarded, and used by one thread only.
*/
class upstream_exchange {
public:
    /** @param connections and @p dialect must outlive this object. @param request_id of the request; answers
        to other requests are skipped. */
    upstream_exchange(net::asio::any_io_executor executor, net::connection_pool& connections,
                      const http_dialect& dialect, std::string request_id);

    /** Takes a connection for one attempt, which has not carried the request before. @param limit of open
       connections to the address. @param longest_idle a connection that was idle for longer is not used.
        @returns false when @p limit connections are in use or the address is malformed. */
    [[nodiscard]] bool acquire(const std::string& address, std::size_t limit, core::duration longest_idle);
    [[nodiscard]] bool connected() const { return connection_->connected(); }
    /** Opens the connection. @param limit after which the attempt ends. */
    net::asio::awaitable<steering::connect_failure> open(core::duration limit);
    /** Writes the request. @param head complete, including its final empty line.
        @returns false when nothing was written. After a part of it the answer can still be read: an upstream
        may answer early and close the connection. */
    net::asio::awaitable<bool> send(std::string_view head, const caller_request& request);
    /** Reads the head of the answer to this request and skips answers to earlier ones.
        @returns false when the connection failed, the head is malformed or too many answers were skipped. */
    net::asio::awaitable<bool> read_head();
    /** @returns whether the head could not be read because the bytes received are no head. */
    [[nodiscard]] bool answer_malformed() const noexcept { return answer_malformed_; }
    /** Sets a function that is called when much of a body is buffered, with its bytes so far. It returns
       whether more is buffered. */
    void buffer_more_if(std::function<bool(std::size_t)> decide) { buffers_more_ = std::move(decide); }
    /** Reads the beginning of the body. If the answer breaks off within it, the caller has received nothing
        yet. @returns false when the connection failed. */
    net::asio::awaitable<bool> buffer_body();

    /** @returns where the request of this attempt was sent. */
    [[nodiscard]] const steering::send_place& place() const noexcept { return place_; }
    /** @returns the properties of the answer's head. */
    [[nodiscard]] answer_facts extract_answer_facts() const;
    /** Adds what the answer states of its server, and the size of the answer, to a result, unless the answer
        may be another server's or may belong to another request. */
    void extract_statements(steering::attempt_result& result) const;
    /** @returns the connection, whose head and body can be read. */
    [[nodiscard]] net::client_connection& connection() { return *connection_; }
    [[nodiscard]] const std::string& buffered_body() const noexcept { return buffered_body_; }
    /** @returns whether the buffered body is the whole body. */
    [[nodiscard]] bool buffered_whole() const noexcept { return buffered_whole_; }

    /** Returns the connection to the pool if another request may use it, and closes it otherwise. */
    void release();
    /** Closes the connection without regard to its state. */
    void discard() { connection_.reset(); }
    /** Ends the attempt in progress. The upstream detects that its connection is closed and stops processing
        the request. */
    void abort();
    /** Ends the attempt in progress because the time limit of the request has passed. */
    void time_out();
    [[nodiscard]] bool timed_out() const noexcept { return timed_out_; }

private:
    /** Reads the body of an answer to another request. @returns false when the connection failed or the body
       is too long. */
    net::asio::awaitable<bool> skip_body();
    /** @returns a rule that finds the answers to HEAD requests, or none if the connection has carried none.
     */
    [[nodiscard]] net::bodiless_rule make_bodiless_rule() const;
    void extract_load(steering::attempt_result& result) const;
    void extract_notice(steering::attempt_result& result) const;

    net::asio::any_io_executor executor_;
    net::connection_pool& connections_;
    const http_dialect& dialect_;
    std::string request_id_;
    std::uint64_t request_id_hash_;
    std::unique_ptr<net::client_connection> connection_;
    std::function<bool(std::size_t)> buffers_more_;
    std::string buffered_body_;
    bool buffered_whole_ = false;
    bool answer_malformed_ = false;
    bool timed_out_ = false;
    steering::send_place place_;
    bool must_discard_connection_ = false; ///< it must not be reused for another request
};

} // namespace knapweed::gateway
