#include "net/decision_loop.h"

namespace knapweed::net {

namespace {

constexpr core::milliseconds tick_interval{5};
// Bounds the time between two ticks when many events wait.
constexpr int events_per_round = 256;

} // namespace

decision_loop::decision_loop(decision_rings& rings, decision_hooks hooks, telemetry& reports)
    : rings_(rings), hooks_(std::move(hooks)), reports_(reports)
{}

void decision_loop::run()
{
    while (!stopped_) {
        rings_.decision_thread.wait_for(tick_interval);
        run_once();
    }
}

void decision_loop::stop()
{
    stopped_ = true;
    rings_.decision_thread.notify();
}

void decision_loop::run_once()
{
    flush_backlog();
    decision::event event;
    int handled = 0;
    while (handled < events_per_round && rings_.from_control.try_pop(event)) {
        handle(event);
        ++handled;
    }
    while (handled < events_per_round && backlog_.empty() && rings_.from_network.try_pop(event)) {
        handle(event);
        ++handled;
    }
    const auto now = std::chrono::steady_clock::now();
    if (now >= next_tick_time_) {
        next_tick_time_ = now + tick_interval;
        hooks_.tick(actions_);
        distribute_actions();
    }
    if (std::exchange(network_pushed_, false))
        hooks_.wake_network();
    if (std::exchange(control_pushed_, false))
        hooks_.wake_control();
    reports_.set(gauge::action_backlog, static_cast<double>(backlog_.size()));
    if (handled == events_per_round)
        rings_.decision_thread.notify();
}

void decision_loop::handle(const decision::event& event)
{
    hooks_.handle(event, actions_);
    distribute_actions();
}

void decision_loop::distribute_actions()
{
    // A platform call that does not fit into the control ring is answered at once, which can add more
    // actions.
    while (!actions_.empty()) {
        auto actions = std::exchange(actions_, {});
        for (auto& action : actions) {
            std::visit(
                [&](auto& selected_action) {
                    using action_type = std::decay_t<decltype(selected_action)>;
                    if constexpr (std::is_same_v<action_type, decision::probe_server> ||
                                  std::is_same_v<action_type, decision::call_platform>)
                        send_to_control(std::move(action));
                    else if constexpr (requires { reports_.count(selected_action); })
                        reports_.count(selected_action);
                    else if constexpr (std::is_same_v<action_type, decision::write_log>)
                        reports_.log(log_source::decision, log_level::info, std::move(selected_action.event),
                                     std::move(selected_action.detail));
                    else
                        send_to_network(std::move(action));
                },
                action);
        }
    }
}

void decision_loop::send_to_network(decision::action action)
{
    network_pushed_ = true;
    if (backlog_.empty() && rings_.to_network.try_push(action))
        return;
    if (std::holds_alternative<decision::send_to_peer>(action)) {
        reports_.add(counter::ring_drops);
        reports_.add(counter::peer_messages_dropped);
        return;
    }
    backlog_.push_back(std::move(action));
}

void decision_loop::send_to_control(decision::action action)
{
    control_pushed_ = true;
    if (rings_.to_control.try_push(action))
        return;
    reports_.add(counter::ring_drops);
    const auto* call = std::get_if<decision::call_platform>(&action);
    if (call == nullptr)
        return; // a dropped probe is repeated after the probe interval
    decision::platform_replied replied;
    replied.reply.call = call->call.call;
    replied.reply.status = state::platform_status::unreachable;
    hooks_.handle(replied, actions_);
}

void decision_loop::flush_backlog()
{
    while (!backlog_.empty() && rings_.to_network.try_push(backlog_.front())) {
        backlog_.pop_front();
        network_pushed_ = true;
    }
}

} // namespace knapweed::net
