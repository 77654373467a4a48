#pragma once

/** Module gateway: the program that forwards callers' requests directly to backend servers. It contains the
   network input and output; the steering module decides what happens to a request. The header names and
   formats of callers and servers are given by an `http_dialect`. */

#include "gateway/caller_listener.h"
#include "gateway/forwarded_request.h"
#include "gateway/gateway_settings.h"
#include "gateway/link_prober.h"
#include "gateway/peer_messenger.h"
#include "gateway/status_pages.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

namespace knapweed::gateway {

/** One instance of the gateway: its listeners, its steering state and its lifecycle from start to graceful
    shutdown.

    All tasks run on one thread, because the platform gives an instance only a fifth of one core: a thread for
    each task would need eight stacks and a thread wake-up whenever one task passes work to another
    (docs/platform.md has the figures).
*/
class gateway {
public:
    gateway(gateway_settings settings, std::string settings_file, http_dialect dialect);
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;
    ~gateway();

    [[nodiscard]] net::asio::any_io_executor executor() { return io_.get_executor(); }
    [[nodiscard]] const core::clock& time() const noexcept { return time_; }
    [[nodiscard]] steering::steerer& steerer() noexcept { return steerer_; }
    [[nodiscard]] event_log& log() noexcept { return log_; }
    [[nodiscard]] gateway_metrics& metrics() noexcept { return metrics_; }
    [[nodiscard]] const gateway_settings& settings() const noexcept { return settings_; }

    /** Sets a function that is called once, when a graceful shutdown begins. */
    void on_leaving(std::function<void()> callback) { on_leaving_ = std::move(callback); }

    /** Sets a function that is called with each change of the store that the reader of the region broadcasts.
     */
    void on_table_change(std::function<void(const steering::table_change&)> callback)
    {
        messenger_.on_table_change(std::move(callback));
    }
    /** Sets a function that is called with each transfer of a table that another instance sends as a
     * datagram. */
    void on_transfer(std::function<void(const replication::table_transfer&)> callback)
    {
        messenger_.on_transfer(std::move(callback));
    }
    /** Sets a function that answers the calls of other instances for a copy of a table. */
    void on_copy_request(session_context::handler handle) { on_copy_request_ = std::move(handle); }
    /** Sets a function that is called about every 100 ms. */
    void on_tick(std::function<void()> callback) { on_tick_ = std::move(callback); }

    /** Sends this instance's status to the other instances at once. */
    void send_status() { messenger_.send_status(); }
    /** @see peer_messenger::broadcast_change */
    void broadcast_change(const steering::table_change& change,
                          const peer_messenger::transfer_source& as_transfer)
    {
        messenger_.broadcast_change(change, as_transfer);
    }

    /** @returns the next status message to the other instances. */
    [[nodiscard]] steering::instance_status status();

    /** Listens at all addresses. @returns the first error, or an empty text. */
    [[nodiscard]] std::string listen();
    /** Serves requests until a graceful shutdown is complete. */
    void run();
    /** Begins a graceful shutdown. */
    void leave();

    /** Runs a coroutine that is needed as long as the process runs. @see net::run_lasting */
    void start_lasting(std::function<net::asio::awaitable<void>()> task);

private:
    [[nodiscard]] bool ready() const;
    /** @param added_header_bytes by which heads may exceed the callers' limit. */
    [[nodiscard]] std::shared_ptr<session_context> make_context(session_context::handler handle,
                                                                std::size_t added_header_bytes = 0);
    net::asio::awaitable<void> forward(std::shared_ptr<caller_exchange> exchange);
    net::asio::awaitable<void> forward_relayed(std::shared_ptr<caller_exchange> exchange);
    net::asio::awaitable<void> run_ticks();
    net::asio::awaitable<void> complete_shutdown();
    void wait_for_signal();
    void report_error(std::string_view error);
    void tick();
    void reload_settings(std::string_view cause);
    void check_settings_file();
    /** Clears the quarantined requests that the settings name. */
    void release_requests();

    gateway_settings settings_;
    std::string settings_file_;
    http_dialect dialect_;
    core::boot_clock time_;
    body_budget bodies_; ///< outlives the tasks of `io_`, which hold claims
    net::asio::io_context io_{1};
    net::asio::signal_set signals_;
    event_log log_;
    gateway_metrics metrics_;
    steering::steerer steerer_;
    net::connection_pool connections_;
    relay_sender relays_; ///< sends requests to other instances
    graceful_shutdown shutdown_;
    forwarder_context forwarder_;
    status_pages pages_;
    caller_listener callers_;
    caller_listener relayed_; ///< requests that other instances relay
    caller_listener readiness_;
    caller_listener lookups_;
    caller_listener metrics_listener_;
    core::incarnation incarnation_;
    peer_messenger messenger_;
    link_prober prober_;
    std::function<void()> on_leaving_;
    std::function<void()> on_tick_;
    session_context::handler on_copy_request_;
    std::uint64_t ticks_ = 0;
    std::int64_t settings_modified_ = 0; ///< modification time of the settings file
};

} // namespace knapweed::gateway
