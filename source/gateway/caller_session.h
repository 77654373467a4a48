#pragma once

#include "gateway/caller_exchange.h"
#include "net/metrics.h"
#include "steering/traffic_policy.h"

#include <deque>

namespace knapweed::gateway {

/** What the sessions of one listener share. */
struct session_context {
    using handler = std::function<net::asio::awaitable<void>(std::shared_ptr<caller_exchange>)>;

    const core::clock& time;
    net::counter_sink& reports;
    std::function<steering::caller_limits()> limits; ///< in force now
    handler handle;                                  ///< answers each request
    bool leaving = false;                            ///< answers close their connections
    std::size_t sessions = 0;
};

/** One connection of a caller.

    Requests are read while earlier ones are still being answered, so that callers may send several without
    waiting, and so that a caller who leaves is noticed at once. Any doubt about where a request ends is
   answered with 400, and the connection is closed.
*/
class caller_session : public std::enable_shared_from_this<caller_session> {
public:
    caller_session(net::tcp::socket socket, std::shared_ptr<session_context> context);
    caller_session(const caller_session&) = delete;
    caller_session& operator=(const caller_session&) = delete;
    ~caller_session();

    /** Serves requests until the connection ends. */
    net::asio::awaitable<void> run();

    /** Ends the connection when it has waited too long for its caller; to be called several times a second.
     */
    void check_time();
    /** Ends the connection if no request is in progress. */
    void close_if_idle();
    /** Closes the connection if its caller has closed it. */
    void check_disconnect();
    /** Closes the connection at once; the callers of all open exchanges are gone. */
    void close();

    [[nodiscard]] net::asio::any_io_executor executor();

private:
    friend class caller_exchange;
    struct stream;

    enum class phase { idle, reading_head, reading_body, discarding };

    [[nodiscard]] bool is_turn_of(const caller_exchange& exchange) const;
    [[nodiscard]] bool keeps_alive_after(const caller_exchange& exchange) const;
    net::asio::awaitable<bool> write(std::string_view head, std::string_view body);
    void finished(const caller_exchange& exchange, bool keep_alive);

    net::asio::awaitable<std::shared_ptr<caller_exchange>> read_request();
    net::asio::awaitable<void> wait_for_room();
    net::asio::awaitable<void> discard_until_closed();
    void reject(unsigned status, std::string_view reason);
    void start(std::shared_ptr<caller_exchange> exchange, const session_context::handler& handle);
    void finish_sending();

    std::shared_ptr<session_context> context_;
    std::unique_ptr<stream> stream_;
    std::deque<std::shared_ptr<caller_exchange>> exchanges_; ///< unanswered, oldest first
    std::optional<net::asio::steady_timer> room_;
    phase phase_ = phase::idle;
    core::time_point phase_began_;
    bool timed_out_ = false; ///< reading a head took too long
    bool sending_done_ = false;
    bool closed_ = false;
};

} // namespace knapweed::gateway
