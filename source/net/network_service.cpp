#include "net/network_service.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>

namespace knapweed::net {

namespace {

constexpr core::milliseconds maintenance_interval{10};
constexpr int rounds_per_idle_check = 100;
// Peers and servers close idle connections after a few seconds; a connection that was idle for longer than
// this is not reused.
constexpr core::milliseconds longest_connection_idle_time{4000};
// Limits the wait for open answers after `stop_now`. The decision thread sends that action only after it
// waited for open requests.
constexpr core::milliseconds stop_time_limit{10000};
constexpr core::milliseconds stop_poll_interval{5};

core::duration connection_idle_limit(const network_options& options)
{
    return std::min<core::duration>(longest_connection_idle_time, options.limits.idle_time / 2);
}

} // namespace

network_service::network_service(const network_options& options, ring<decision::event>& events,
                                 ring<decision::action>& actions, wake_signal& decision_thread,
                                 telemetry& reports)
    : actions_(actions), reports_(reports), events_(events, decision_thread, reports),
      exchanges_(io_.get_executor(), events_, reports), peer_rpc_(events_, reports),
      context_(std::make_shared<server_context>(
          server_context{options.limits, exchanges_, events_, reports, peer_rpc_, operator_rpc_, {}})),
      server_(io_.get_executor(), context_),
      client_(io_.get_executor(), connection_idle_limit(options), reports, time_),
      dispatches_(io_.get_executor(), options.instance, options.incarnation, connection_idle_limit(options),
                  exchanges_, events_, client_, reports),
      peers_(io_.get_executor(), client_, reports)
{
    context_->metrics_text = [&reports]() -> asio::awaitable<std::string> { co_return reports.text(); };
}

network_service::~network_service() = default;

void network_service::use_metrics_text(std::function<asio::awaitable<std::string>()> source)
{
    context_->metrics_text = std::move(source);
}

void network_service::stop_on_signals()
{
    auto signals = std::make_shared<asio::signal_set>(io_, SIGTERM, SIGINT);
    signals->async_wait([this, signals](error_code error, int /*number*/) {
        if (!error)
            request_stop();
    });
}

void network_service::request_stop()
{
    context_->leaving = true;
    reports_.log(log_source::network, log_level::info, "stop_requested",
                 "a signal requested a graceful shutdown");
    events_.send(decision::stop_requested{});
}

void network_service::run()
{
    asio::co_spawn(io_, run_maintenance(), asio::detached);
    io_.run();
}

asio::awaitable<void> network_service::run_maintenance()
{
    asio::steady_timer timer(io_);
    for (int round = 0; !context_->stopped; ++round) {
        timer.expires_after(maintenance_interval);
        co_await timer.async_wait(as_result);
        events_.flush();
        if (round % rounds_per_idle_check != 0)
            continue;
        client_.connections().close_idle();
        dispatches_.close_idle();
    }
}

void network_service::wake()
{
    if (!wake_pending_.exchange(true))
        asio::post(io_, [this] { drain_actions(); });
}

void network_service::drain_actions()
{
    wake_pending_ = false;
    reports_.set(gauge::network_ring_entries, static_cast<double>(actions_.size()));
    decision::action next_action;
    while (actions_.try_pop(next_action))
        execute(next_action);
}

template <typename Answer>
void network_service::answer(const Answer& action)
{
    const auto waiting = exchanges_.find(action.exchange);
    if (!waiting)
        return;
    waiting->answer(make_answer(action));
    exchanges_.erase(action.exchange);
}

void network_service::execute(decision::action& action)
{
    std::visit(
        [this](const auto& selected_action) {
            using action_type = std::decay_t<decltype(selected_action)>;
            if constexpr (std::is_same_v<action_type, decision::relay_to_instance> ||
                          std::is_same_v<action_type, decision::dispatch_to_server>)
                dispatches_.start(selected_action);
            else if constexpr (std::is_same_v<action_type, decision::cancel_dispatch>)
                dispatches_.cancel(selected_action.dispatch);
            else if constexpr (std::is_same_v<action_type, decision::send_to_peer>)
                peers_.send(selected_action);
            else if constexpr (std::is_same_v<action_type, decision::leaving_begun>)
                context_->leaving = true;
            else if constexpr (std::is_same_v<action_type, decision::stop_now>)
                asio::co_spawn(io_, stop(), asio::detached);
            else if constexpr (requires { make_answer(selected_action); })
                answer(selected_action);
        },
        action);
}

asio::awaitable<void> network_service::stop()
{
    context_->leaving = true;
    context_->stopped = true;
    server_.stop();
    asio::steady_timer timer(io_);
    const auto limit = std::chrono::steady_clock::now() + stop_time_limit;
    while ((context_->session_count > 0 || !peers_.idle()) && std::chrono::steady_clock::now() < limit) {
        timer.expires_after(stop_poll_interval);
        co_await timer.async_wait(as_result);
        server_.close_idle();
    }
    io_.stop();
}

} // namespace knapweed::net
