#pragma once

/** Module gateway: the program that takes callers' requests straight to backend servers. It moves bytes; what
   to do with a request is decided by the steering module. Names and formats of the outside come in a
   `http_dialect`. */

#include "gateway/caller_listener.h"
#include "gateway/forwarded_request.h"
#include "gateway/gateway_settings.h"
#include "gateway/peer_link.h"
#include "steering/lookup_choice.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

namespace knapweed::gateway {

/** One instance: its listeners, its view of the system and its life from start to graceful shutdown.

    All duties share one thread. The platform gives an instance a fifth of one core: a thread for each duty
   cost eight stacks and wake-ups for each hand-over (docs/platform.md has the figures).
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

    /** Called once when a graceful shutdown begins. */
    void on_leaving(std::function<void()> hook) { on_leaving_ = std::move(hook); }

    /** Called with each change of the store that the reader of the region tells. */
    void on_table_change(std::function<void(const steering::table_change&)> hook)
    {
        on_table_change_ = std::move(hook);
    }
    /** Called about every 100 ms. */
    void on_tick(std::function<void()> hook) { on_tick_ = std::move(hook); }

    /** Tells the instances of the region a change of the store, and all instances that there is one. A change
        that does not fit into a datagram is left out: the others read it from the store. */
    void broadcast_change(const steering::table_change& change);

    /** @returns what this instance tells the others. */
    [[nodiscard]] steering::instance_status status();

    /** Listens at all addresses. @returns what failed, empty when nothing did. */
    [[nodiscard]] std::string listen();
    /** Serves until a graceful shutdown has ended. */
    void run();
    /** Begins a graceful shutdown. */
    void leave();

private:
    [[nodiscard]] bool ready() const;
    [[nodiscard]] std::shared_ptr<session_context> make_context(session_context::handler handle);
    net::asio::awaitable<void> forward(std::shared_ptr<caller_exchange> exchange);
    net::asio::awaitable<void> answer_readiness(std::shared_ptr<caller_exchange> exchange);
    [[nodiscard]] std::vector<steering::lookup_candidate> lookup_candidates();
    net::asio::awaitable<void> answer_lookup(std::shared_ptr<caller_exchange> exchange);
    net::asio::awaitable<void> answer_metrics(std::shared_ptr<caller_exchange> exchange);
    net::asio::awaitable<void> keep_time();
    net::asio::awaitable<void> shut_down();
    void watch_signals();
    void tick();
    void reload_settings(std::string_view cause);
    void check_settings_file();
    void receive(const peer_message& message);
    void send_status();
    net::asio::awaitable<void> keep_telling_load();
    void tell_load(bool all);

    gateway_settings settings_;
    std::string settings_file_;
    http_dialect dialect_;
    core::boot_clock time_;
    net::asio::io_context io_{1};
    net::asio::signal_set signals_;
    event_log log_;
    gateway_metrics metrics_;
    steering::steerer steerer_;
    net::connection_pool connections_;
    forwarder_context forwarder_;
    caller_listener callers_;
    caller_listener readiness_;
    caller_listener lookups_;
    caller_listener metrics_listener_;
    peer_link peers_;
    std::function<void()> on_leaving_;
    std::function<void(const steering::table_change&)> on_table_change_;
    std::function<void()> on_tick_;
    core::incarnation incarnation_;
    std::uint64_t sequence_ = 0;
    std::vector<steering::instance_load::entry> told_load_; ///< as it was sent last
    std::uint64_t ticks_ = 0;
    std::int64_t settings_changed_ = 0; ///< modification time of the settings file
    bool leaving_ = false;
};

} // namespace knapweed::gateway
