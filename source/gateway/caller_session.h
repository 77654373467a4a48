#pragma once

#include "gateway/body_budget.h"
#include "gateway/caller_exchange.h"
#include "gateway/connection_lifetime.h"
#include "gateway/pass_on_order.h"
#include "net/lasting_task.h"
#include "net/metrics.h"
#include "steering/traffic_policy.h"

#include <deque>

namespace knapweed::gateway {

/** State shared by all sessions of one listener. */
struct session_context {
    using handler = std::function<net::asio::awaitable<void>(std::shared_ptr<caller_exchange>)>;

    const core::clock& time;
    net::counter_sink& counters;
    const graceful_shutdown& shutdown;               ///< of the process
    body_budget& bodies;                             ///< of the instance
    std::function<steering::caller_limits()> limits; ///< returns the limits currently in force
    handler handle;                                  ///< answers each request
    net::error_hook on_error; ///< called with each unexpected error, which ends only its connection
    std::size_t sessions = 0; ///< open connections
};

/** One connection of a caller.

    Requests are read while earlier ones are still being answered. This allows pipelining, and it detects at
    once that a caller has closed its connection. A request whose end is ambiguous is answered with 400, and
    the connection is closed.
*/
class caller_session : public std::enable_shared_from_this<caller_session> {
public:
    caller_session(net::tcp::socket socket, std::shared_ptr<session_context> context);
    caller_session(const caller_session&) = delete;
    caller_session& operator=(const caller_session&) = delete;
    ~caller_session();

    /** Serves requests until the connection ends. */
    net::asio::awaitable<void> run();

    /** Ends the connection when a time limit of reading or of idleness has passed; to be called several times
        a second. */
    void check_timeouts();
    /** Ends the connection if no request is being read or answered and no byte of one has arrived. */
    void close_if_idle();
    /** @returns how long nothing has happened on the connection for which its caller waits: it is idle, or a
       request stays incomplete. Nothing while a request is answered. */
    [[nodiscard]] std::optional<core::duration> standstill() const;
    /** Closes the connection if its caller has closed it. */
    void detect_disconnect();
    /** Closes the connection at once and marks all open exchanges as disconnected. */
    void close();
    /** Closes the connection because of an unexpected error, and reports it. */
    void fail(const std::exception_ptr& error);

    [[nodiscard]] net::asio::any_io_executor executor();

private:
    friend class caller_exchange;
    struct stream;

    enum class read_phase { idle, reading_head, reading_body, discarding };

    [[nodiscard]] bool is_next_to_answer(const caller_exchange& exchange) const;
    net::asio::awaitable<bool> write(std::string_view head, std::string_view body);
    void complete_exchange(const caller_exchange& exchange, bool keep_alive);
    /** Has each unanswered request check again whether it may be passed on or answered. */
    void notify_exchanges();

    net::asio::awaitable<std::shared_ptr<caller_exchange>> read_request();
    net::asio::awaitable<void> wait_for_pipeline_slot();
    net::asio::awaitable<void> discard_until_closed();
    void reject(unsigned status, std::string_view reason);
    void start(std::shared_ptr<caller_exchange> exchange, const session_context::handler& handle);
    void shut_down_sending();
    [[nodiscard]] int peek();
    [[nodiscard]] bool has_end_behind_unread();
    [[nodiscard]] bool has_undelivered();

    std::shared_ptr<session_context> context_;
    std::unique_ptr<stream> stream_;
    connection_lifetime lifetime_;
    pass_on_order order_;
    body_claim claim_;                                       ///< of the request that is being read
    std::deque<std::shared_ptr<caller_exchange>> exchanges_; ///< not yet answered, oldest first
    std::optional<net::asio::steady_timer> slot_signal_;     ///< cancelled when another request may be read
    read_phase phase_ = read_phase::idle;
    core::time_point phase_began_;
    std::optional<core::time_point> write_began_; ///< when the write in progress began
    bool close_when_idle_ = false; ///< the read was cancelled to close the connection if it is idle
    bool timed_out_ = false;       ///< reading a request took too long
    bool sending_shut_down_ = false;
    bool closed_ = false;
};

} // namespace knapweed::gateway
