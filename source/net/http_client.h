#pragma once

#include "net/connection_pool.h"

namespace knapweed::net {

/** How a request ended. */
enum class fetch_status {
    answered, ///< the whole answer was read
    not_sent, ///< nothing of the request was written
    lost      ///< the request may have arrived, but no whole answer was read
};

/** The answer to a request, or why there is none. */
struct fetch_result {
    fetch_status status = fetch_status::not_sent;
    unsigned http_status = 0;
    std::string body;
    std::string observed_field; ///< value of the field that the client observes, empty when absent
    std::uint64_t bytes_sent = 0;
    bool reused_connection = false;
    bool timed_out = false; ///< a time limit ended the call
};

/** Limits of a call whose answer may be large. The time of its body is not limited as a whole, because a
   limit that is too short for one transfer would be too short for every repetition of it. */
struct fetch_limits {
    core::duration answer;                     ///< until the head of the answer is read, connecting included
    core::duration silence;                    ///< until the next part of the body is read
    std::size_t min_body_bytes_per_second = 1; ///< a body that is slower over its whole length is given up
    std::size_t max_body_bytes = 0;            ///< a larger answer counts as `lost`
};

/** Sends requests whose answers are read as a whole: peer messages, probes and platform calls. */
class http_client {
public:
    /** @param time must outlive this object. @param connect_limit time limit for opening a connection;
        without it only the timeout of the call applies. @see connection_pool */
    http_client(const asio::any_io_executor& executor, core::duration idle_limit, counter_sink& reports,
                const core::clock& time, std::optional<core::duration> connect_limit = std::nullopt);

    /** Sets the name of a header field whose value each result holds if an answer's head was read. */
    void observe_field(std::string name) { observed_field_ = std::move(name); }

    /** Sends a request and reads its whole answer.
        @param request its body must outlive the call. @param timeout for the entire call, including the time
        to connect. @param body_limit bytes; a larger answer counts as `lost`. */
    asio::awaitable<fetch_result> fetch(std::string address, outgoing_request request, core::duration timeout,
                                        std::size_t body_limit);

    /** Sends a request and reads its whole answer, however long a steady transfer takes.
        @param request its body must outlive the call. */
    asio::awaitable<fetch_result> fetch(std::string address, outgoing_request request, fetch_limits limits);

    [[nodiscard]] connection_pool& connections() noexcept { return connections_; }

private:
    class call_timer;

    asio::awaitable<fetch_result> call(std::string address, outgoing_request request, fetch_limits limits,
                                       bool limit_whole_call);
    asio::awaitable<fetch_result> exchange(client_connection& connection, const outgoing_request& request,
                                           const fetch_limits& limits, call_timer& timer);

    asio::any_io_executor executor_;
    const core::clock& time_;
    connection_pool connections_;
    std::optional<core::duration> connect_limit_;
    std::string observed_field_;
};

} // namespace knapweed::net
