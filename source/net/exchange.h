#pragma once

#include "decision/request.h"
#include "net/answer.h"
#include "net/asio_types.h"

#include <functional>
#include <memory>
#include <optional>

namespace knapweed::net {

/** A received request, stored until its exchange ends. */
struct buffered_request {
    std::string method;
    std::string target;         ///< path and query as received, used when the request is relayed to a peer
    std::string backend_target; ///< path and query for a backend server
    std::string content_type;
    std::string accept;
    std::string body;
    core::caller_id caller;
    std::string key;
    core::rank rank = core::rank::standard;
    bool idempotent = false;
};

/** Writes a streamed answer to the caller. Each write returns only when the data is in the socket's buffer,
    which applies back-pressure to the upstream connection.
*/
class answer_sink {
public:
    answer_sink() = default;
    answer_sink(const answer_sink&) = delete;
    answer_sink& operator=(const answer_sink&) = delete;
    virtual ~answer_sink() = default;

    /** Writes the head with the first data of the body. @returns false when the connection is lost. */
    virtual asio::awaitable<bool> begin(const streamed_head& head, std::string_view first_data,
                                        bool is_last) = 0;
    /** Writes more of the body. @returns false when the connection is lost. */
    virtual asio::awaitable<bool> write(std::string_view data, bool is_last) = 0;
    /** Closes the connection without a final chunk. */
    virtual void close_connection() = 0;
};

/** One request of a caller or peer and its answer. Used by the network thread only. */
class exchange {
public:
    /** @param on_caller_lost called at most once, when the caller's connection ends before its answer. */
    exchange(const asio::any_io_executor& executor, core::exchange_id id, buffered_request request,
             std::shared_ptr<answer_sink> sink, std::function<void()> on_caller_lost);

    [[nodiscard]] core::exchange_id id() const noexcept { return id_; }
    [[nodiscard]] const buffered_request& request() const noexcept { return request_; }

    /** @returns whether no answer has been started. */
    [[nodiscard]] bool open() const noexcept { return progress_ == progress::open; }
    /** @returns whether the answer is complete or was aborted. */
    [[nodiscard]] bool finished() const noexcept
    {
        return progress_ == progress::answered || progress_ == progress::aborted;
    }
    /** @returns whether the caller's connection ended before its answer was complete. */
    [[nodiscard]] bool caller_lost() const noexcept { return sink_ == nullptr; }
    /** @returns whether a streamed answer ended incomplete. */
    [[nodiscard]] bool aborted() const noexcept { return progress_ == progress::aborted; }

    /** Stores a whole answer for the session to write; ignored unless `open`. */
    void answer(whole_answer answer);
    /** @returns the answer to write, or nothing when it was streamed. */
    [[nodiscard]] std::optional<whole_answer> take_whole_answer();

    /** Starts a streamed answer. Data is discarded after the caller's connection was lost. */
    asio::awaitable<void> begin_stream(const streamed_head& head, std::string_view first_data, bool is_last);
    /** Writes more of a streamed answer. */
    asio::awaitable<void> write_stream(std::string_view data, bool is_last);
    /** Ends a streamed answer that is incomplete: closes the caller's connection without a final chunk. */
    void abort();

    /** Records that the caller's connection was lost, closes it and calls `on_caller_lost`. */
    void mark_caller_lost();

    /** Returns when the exchange has finished, the caller's connection was lost or @p limit has passed. */
    asio::awaitable<void> wait(core::duration limit);

private:
    enum class progress { open, streaming, answered, aborted };

    void after_write(bool delivered, bool is_last);

    core::exchange_id id_;
    buffered_request request_;
    std::shared_ptr<answer_sink> sink_;
    std::function<void()> on_caller_lost_;
    asio::steady_timer changed_;
    progress progress_ = progress::open;
    std::optional<whole_answer> whole_answer_;
};

} // namespace knapweed::net
