#pragma once

#include "core/core.h"
#include "net/asio_types.h"
#include "net/client_connection.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace knapweed::gateway {

class caller_session;

/** A request as it was read from a caller, with its whole body. */
struct caller_request {
    std::string method;
    std::string target; ///< path and query, as sent
    std::vector<net::header_field> fields;
    std::string body;
    bool keep_alive = true;
    core::time_point received; ///< when its first byte was read

    [[nodiscard]] std::string_view path() const;
    /** @returns the value of a query parameter, empty when absent. */
    [[nodiscard]] std::string_view query(std::string_view name) const;
    /** @returns the value of the first field with this name, empty when absent. */
    [[nodiscard]] std::string_view field(std::string_view name) const;
    /** @returns the value of a cookie, empty when absent. */
    [[nodiscard]] std::string_view cookie(std::string_view name) const;
};

/** Status and fields of an answer, without those that belong to a connection. */
struct answer_head {
    unsigned status = 200;
    std::string reason;
    std::string fields;                         ///< complete lines, each with its line end
    std::optional<std::uint64_t> stated_length; ///< of an answer to HEAD, which has no body
};

/** One request of a caller and its answer.

    Answers leave a connection in the order of its requests, so each call that writes first waits for its
   turn. Every call returns false when the caller is gone.
*/
class caller_exchange {
public:
    caller_exchange(std::shared_ptr<caller_session> session, caller_request request);
    caller_exchange(const caller_exchange&) = delete;
    caller_exchange& operator=(const caller_exchange&) = delete;
    ~caller_exchange();

    [[nodiscard]] const caller_request& request() const noexcept { return request_; }
    [[nodiscard]] bool caller_gone() const noexcept { return caller_gone_; }
    /** Looks whether the caller has closed its connection already. A process that has fallen behind reads a
       request long after its caller has left, and the end of the connection only later still. */
    [[nodiscard]] bool check_disconnect();
    /** Calls @p hook at most once, when the caller's connection ends before the answer does. */
    void on_caller_gone(std::function<void()> hook) { on_caller_gone_ = std::move(hook); }

    /** Writes a whole answer. */
    net::asio::awaitable<bool> answer(const answer_head& head, std::string_view body);

    /** Begins an answer whose body follows in pieces. @param length of the body, when it is known. */
    net::asio::awaitable<bool> begin_answer(const answer_head& head, std::optional<std::uint64_t> length);
    net::asio::awaitable<bool> write_piece(std::string_view piece);
    net::asio::awaitable<bool> end_answer();
    /** Ends an answer that can't be completed: closes the connection, so that the answer does not look whole.
     */
    void abort_answer();

private:
    friend class caller_session;

    void lose_caller();
    [[nodiscard]] std::string make_head(const answer_head& head, std::string_view framing,
                                        bool keep_alive) const;
    net::asio::awaitable<bool> wait_for_turn();

    std::shared_ptr<caller_session> session_;
    caller_request request_;
    std::function<void()> on_caller_gone_;
    std::optional<net::asio::steady_timer> turn_;
    bool caller_gone_ = false;
    bool chunked_ = false;
    bool keep_alive_ = true;
};

} // namespace knapweed::gateway
