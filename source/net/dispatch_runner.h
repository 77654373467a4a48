#pragma once

#include "decision/action.h"
#include "net/exchange_table.h"
#include "net/http_client.h"

#include <memory>
#include <unordered_map>

namespace knapweed::net {

/** Sends requests to peers and backend servers and streams their answers back. Used by the network thread
    only.

    Each attempt ends with exactly one `dispatch_finished`. If an answer is truncated, cancelled or timed out
    after its head was sent to the caller, the caller's connection is closed and the exchange ends. A
    cancelled attempt is then reported as `truncated`, because the answer of another attempt could not be
    sent any more.
*/
class dispatch_runner {
public:
    /** @param incarnation makes run identifiers unique across restarts of the instance.
        @param idle_limit time after which an idle connection is closed.
        @param client sends cancellations to servers. All references must outlive this object. */
    dispatch_runner(const asio::any_io_executor& executor, core::instance_id instance,
                    core::incarnation incarnation, core::duration idle_limit, exchange_table& exchanges,
                    event_port& events, http_client& client, telemetry& reports);
    dispatch_runner(const dispatch_runner&) = delete;
    dispatch_runner& operator=(const dispatch_runner&) = delete;
    ~dispatch_runner();

    /** Sends the request of an exchange to a peer. */
    void start(const decision::relay_to_instance& action);
    /** Sends the request of an exchange to a backend server. */
    void start(const decision::dispatch_to_server& action);
    /** Cancels an attempt; does nothing if it has ended. */
    void cancel(core::dispatch_id dispatch);

    /** Closes connections that exceeded their idle limit. */
    void close_idle() { connections_.close_idle(); }

private:
    struct attempt;

    void launch(std::shared_ptr<attempt> new_attempt);
    void stop(attempt& running, decision::dispatch_status reason);
    asio::awaitable<void> run(std::shared_ptr<attempt> running);
    void finish(attempt& ended, decision::dispatch_result result);
    asio::awaitable<decision::dispatch_result> transfer(attempt& running);
    asio::awaitable<bool> connect(attempt& running);
    asio::awaitable<bool> read_answer_head(attempt& running);
    asio::awaitable<decision::dispatch_result> stream_answer(attempt& running);
    void cancel_run(const attempt& ended);

    asio::any_io_executor executor_;
    core::instance_id instance_;
    std::string run_prefix_;
    exchange_table& exchanges_;
    event_port& events_;
    http_client& client_;
    telemetry& reports_;
    core::boot_clock time_;
    connection_pool connections_;
    std::unordered_map<core::dispatch_id, std::shared_ptr<attempt>> running_;
};

} // namespace knapweed::net
