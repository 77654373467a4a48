#pragma once

#include "core/core.h"
#include "net/asio_types.h"
#include "net/carried_requests.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace knapweed::net {

/** One field of an HTTP head. */
struct header_field {
    std::string name;
    std::string value;
};

/** A request to a peer, a backend server or the platform. The owner of the body keeps it alive until the
    request has been written.
*/
struct outgoing_request {
    std::string method;
    std::string target;
    std::vector<header_field> fields;
    std::string_view body;
};

/** Result of a read or write: the error, if any, and the number of bytes transferred before it. */
struct transfer_result {
    error_code error;
    std::size_t bytes = 0;
};

/** Interim answers (1xx) that may precede an answer. */
constexpr int max_interim_answers = 4;

/** Decides from the head of an answer whether the answer has no body although it may state a length, such as
   one to a HEAD request. The function that it receives returns the value of a field, empty when absent. */
using bodiless_rule = std::function<bool(const std::function<std::string_view(std::string_view)>&)>;

/** One HTTP/1.1 client connection. It sets no timeouts; a caller that needs one calls `close`, which ends
    every pending operation.
*/
class client_connection {
public:
    /** @param number identifies the connection in this process. @param open_count number of open connections
        to this address; decremented on destruction. */
    client_connection(const asio::any_io_executor& executor, std::uint64_t number, std::string address,
                      tcp::endpoint remote, std::shared_ptr<std::size_t> open_count);
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;
    ~client_connection();

    [[nodiscard]] std::uint64_t number() const noexcept { return number_; }
    [[nodiscard]] const std::string& address() const noexcept { return address_; }
    /** @returns the number of requests that were written, the current one included. */
    [[nodiscard]] std::uint64_t requests() const noexcept { return requests_; }
    /** @returns the requests with ids that were assigned to this connection. */
    [[nodiscard]] carried_requests& carried() noexcept { return carried_; }
    /** @returns whether the connection has carried a request before. */
    [[nodiscard]] bool reused() const noexcept { return requests_ > 1; }
    [[nodiscard]] bool connected() const noexcept { return connected_; }

    /** Opens the connection to the remote endpoint. */
    asio::awaitable<error_code> connect();

    /** Writes the whole request. A result with an error and 0 bytes means that nothing was sent. */
    asio::awaitable<transfer_result> write(const outgoing_request& request);

    /** Writes a request. @param head complete, including its final empty line. @see write */
    asio::awaitable<transfer_result> write_message(std::string_view head, std::string_view body);

    /** Discards an answer that was read to its end and prepares to read the next one, such as the final
        answer after an interim one. */
    void expect_next_answer();

    /** Reads the head of the answer. A head that exceeds the size limit or is malformed gives an error.
        @see check_answer_head
        @param is_bodiless if set, decides whether the answer has no body. */
    asio::awaitable<error_code> read_head(bodiless_rule is_bodiless = {});

    /** Reads heads up to that of the final answer. More than `max_interim_answers` interim ones (1xx) before
        it give an error. */
    asio::awaitable<error_code> read_final_head();

    [[nodiscard]] unsigned status() const;
    [[nodiscard]] std::string_view reason() const;
    /** Calls @p visit with the name and value of each field of the answer's head, in order. */
    void visit_fields(const std::function<void(std::string_view, std::string_view)>& visit) const;
    /** @returns the value of a field of the answer's head, empty when absent. */
    [[nodiscard]] std::string_view field(std::string_view name) const;
    [[nodiscard]] std::optional<std::uint64_t> content_length() const;
    /** @returns whether the answer is framed by a length or by chunks. An answer that ends with its
        connection can't be distinguished from a truncated one. */
    [[nodiscard]] bool delimited() const;
    /** @returns whether the answer was read to its end. An answer that ends with its connection has no end if
       the request could not be written whole. */
    [[nodiscard]] bool complete() const;

    /** Reads at least one byte of the body unless the answer is complete. Any error means that the body is
        truncated, or that its framing is out of proportion to it. */
    asio::awaitable<transfer_result> read_some(std::span<char> buffer);

    /** @returns whether another request may follow on this connection. */
    [[nodiscard]] bool reusable() const;

    /** Marks the connection as idle from @p now on. @param limit idle time after which it is not reused. */
    void rest(core::time_point now, core::duration limit);
    [[nodiscard]] core::duration idle_time(core::time_point now) const { return now - idle_since_; }
    [[nodiscard]] bool idle_too_long(core::time_point now) const { return idle_time(now) >= idle_limit_; }

    /** @returns whether an idle connection is open and has received no data, without a round trip to the
        other side. */
    [[nodiscard]] bool open_and_silent();

    /** Closes the connection; pending operations end with an error. */
    void close();

private:
    struct state;

    /** Receives a whole head, which stays in the buffer, and sets whether the parser expects a body. */
    asio::awaitable<error_code> decide_body(const bodiless_rule& is_bodiless);

    std::uint64_t number_;
    std::string address_;
    tcp::endpoint remote_;
    std::shared_ptr<std::size_t> open_count_;
    bool connected_ = false;
    std::uint64_t requests_ = 0;
    carried_requests carried_;
    core::time_point idle_since_;
    core::duration idle_limit_{};
    std::unique_ptr<state> state_;
};

} // namespace knapweed::net
