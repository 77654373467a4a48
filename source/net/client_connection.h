#pragma once

#include "core/core.h"
#include "net/asio_types.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace knapweed::net {

struct header_field {
    std::string name;
    std::string value;
};

/** A request to a peer, server or the platform. The body must outlive the call that writes it. */
struct outgoing_request {
    std::string method;
    std::string target;
    std::vector<header_field> fields;
    std::string_view body;
};

/** Result of a read or write: bytes moved before the error, if any. */
struct transfer_result {
    error_code error;
    std::size_t bytes = 0;
};

/** One HTTP/1.1 client connection. It has no timeouts of its own: `close` ends every pending operation. */
class client_connection {
public:
    /** @param open_count is decremented on destruction. */
    client_connection(const asio::any_io_executor& executor, std::string address, tcp::endpoint remote,
                      std::shared_ptr<std::size_t> open_count);
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;
    ~client_connection();

    [[nodiscard]] const std::string& address() const noexcept { return address_; }
    /** @returns whether the connection has carried a request before. */
    [[nodiscard]] bool reused() const noexcept { return requests_ > 1; }
    [[nodiscard]] bool connected() const noexcept { return connected_; }

    asio::awaitable<error_code> connect();

    /** Writes the whole request. With an error and 0 bytes, nothing was sent. */
    asio::awaitable<transfer_result> write(const outgoing_request& request);

    /** Writes a message whose head is complete, with its final empty line. @see write */
    asio::awaitable<transfer_result> write_message(std::string_view head, std::string_view body);

    /** The answer to the request that was written has no body, whatever its head says. */
    void expect_no_body();

    /** Forgets an answer that was read to its end, so that the one behind it can be read. */
    void expect_next_answer();

    /** Reads the head of the answer. */
    asio::awaitable<error_code> read_head();

    [[nodiscard]] unsigned status() const;
    [[nodiscard]] std::string_view reason() const;
    /** Calls @p visit with the name and value of each field of the answer's head, in order. */
    void visit_fields(const std::function<void(std::string_view, std::string_view)>& visit) const;
    /** @returns the value of a field of the answer's head, empty when absent. */
    [[nodiscard]] std::string_view field(std::string_view name) const;
    [[nodiscard]] std::optional<std::uint64_t> content_length() const;
    /** @returns whether the answer says where it ends. Without that a truncated answer can't be recognised.
     */
    [[nodiscard]] bool delimited() const;
    /** @returns whether the answer was read to its end. */
    [[nodiscard]] bool complete() const;

    /** Reads at least one byte of the body unless it is complete. Any error means that it is truncated. */
    asio::awaitable<transfer_result> read_some(std::span<char> buffer);

    /** @returns whether another request may follow on this connection. */
    [[nodiscard]] bool reusable() const;

    /** Marks the connection as unused from now on. @param limit time for which the other side keeps it. */
    void rest(core::time_point now, core::duration limit);
    [[nodiscard]] core::duration idle_time(core::time_point now) const { return now - idle_since_; }
    [[nodiscard]] bool idle_too_long(core::time_point now) const { return idle_time(now) >= idle_limit_; }

    /** @returns whether an idle connection is still open and silent, as far as this host knows. */
    [[nodiscard]] bool open_and_silent();

    /** Closes the connection; pending operations end with an error. */
    void close();

private:
    struct state;

    std::string address_;
    tcp::endpoint remote_;
    std::shared_ptr<std::size_t> open_count_;
    bool connected_ = false;
    std::uint64_t requests_ = 0;
    core::time_point idle_since_;
    core::duration idle_limit_{};
    std::unique_ptr<state> state_;
};

} // namespace knapweed::net
