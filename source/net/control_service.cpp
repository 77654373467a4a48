#include "net/control_service.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

namespace knapweed::net {

namespace {

constexpr core::milliseconds maintenance_interval{10};
constexpr int rounds_per_idle_check = 100;
constexpr core::milliseconds longest_connection_idle_time{4000};

} // namespace

control_service::control_service(control_options options, ring<decision::event>& events,
                                 ring<decision::action>& actions, wake_signal& decision_thread,
                                 telemetry& reports)
    : actions_(actions), reports_(reports), events_(events, decision_thread, reports),
      client_(io_.get_executor(), longest_connection_idle_time, reports, time_),
      platform_(client_, std::move(options.platform_address), reports),
      prober_(client_, options.probe_timeout, reports)
{}

control_service::~control_service() = default;

void control_service::run()
{
    asio::co_spawn(io_, run_maintenance(), asio::detached);
    io_.run();
}

void control_service::stop()
{
    io_.stop();
}

void control_service::wake()
{
    if (!wake_pending_.exchange(true))
        asio::post(io_, [this] { drain_actions(); });
}

asio::awaitable<void> control_service::run_maintenance()
{
    asio::steady_timer timer(io_);
    for (int round = 0;; ++round) {
        timer.expires_after(maintenance_interval);
        co_await timer.async_wait(as_result);
        events_.flush();
        if (round % rounds_per_idle_check == 0)
            client_.connections().close_idle();
    }
}

void control_service::drain_actions()
{
    wake_pending_ = false;
    reports_.set(gauge::control_ring_entries, static_cast<double>(actions_.size()));
    decision::action next_action;
    while (actions_.try_pop(next_action)) {
        if (auto* probe_action = std::get_if<decision::probe_server>(&next_action))
            asio::co_spawn(io_, probe(std::move(*probe_action)), asio::detached);
        else if (auto* call_action = std::get_if<decision::call_platform>(&next_action))
            asio::co_spawn(io_, call(std::move(call_action->call)), asio::detached);
    }
}

asio::awaitable<void> control_service::probe(decision::probe_server action)
{
    auto event = co_await prober_.probe(std::move(action));
    if (!events_.try_send(std::move(event)))
        reports_.add(counter::ring_drops);
}

asio::awaitable<void> control_service::call(state::platform_call call)
{
    auto reply = co_await platform_.execute(std::move(call));
    events_.send(decision::platform_replied{std::move(reply)});
}

} // namespace knapweed::net
