#include "net/control_service.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

namespace knapweed::net {

namespace {

constexpr core::milliseconds house_interval{10};
constexpr int idle_check_every = 100; // house intervals
constexpr core::milliseconds longest_idle{4000};

} // namespace

control_service::control_service(control_options options, ring<decision::event>& events,
                                 ring<decision::action>& actions, wake_signal& decision_thread,
                                 telemetry& reports)
    : actions_(actions), reports_(reports), events_(events, decision_thread, reports),
      client_(io_.get_executor(), longest_idle, reports, time_),
      platform_(client_, std::move(options.platform_address), reports),
      prober_(client_, options.probe_timeout, reports)
{}

control_service::~control_service() = default;

void control_service::run()
{
    asio::co_spawn(io_, keep_house(), asio::detached);
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

asio::awaitable<void> control_service::keep_house()
{
    asio::steady_timer timer(io_);
    for (int round = 0;; ++round) {
        timer.expires_after(house_interval);
        co_await timer.async_wait(as_result);
        events_.flush();
        if (round % idle_check_every == 0)
            client_.connections().close_idle();
    }
}

void control_service::drain_actions()
{
    wake_pending_ = false;
    reports_.set(gauge::control_ring_entries, static_cast<double>(actions_.size()));
    decision::action next;
    while (actions_.try_pop(next)) {
        if (auto* probed = std::get_if<decision::probe_server>(&next))
            asio::co_spawn(io_, probe(std::move(*probed)), asio::detached);
        else if (auto* called = std::get_if<decision::call_platform>(&next))
            asio::co_spawn(io_, call(std::move(called->call)), asio::detached);
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
