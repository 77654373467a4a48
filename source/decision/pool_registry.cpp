#include "decision/pool_registry.h"

#include <algorithm>

namespace knapweed::decision {

pool_registry::pool_registry(node_context& shared, crash_guard& guard, local_request_hooks hooks)
    : shared_(shared), guard_(guard), hooks_(std::move(hooks))
{}

void pool_registry::configure(const wire::configuration& configuration)
{
    configuration_ = configuration;
    std::set<core::pool_id> present;
    for (const auto& service : configuration.services()) {
        for (const auto& server : service.backend_servers()) {
            core::pool_id id{core::service_id{service.name()}, core::data_centre_id{server.data_centre()}};
            if (!present.insert(id).second)
                continue;
            auto& target = pools_[id];
            if (target == nullptr) {
                target = std::make_unique<pool>(
                    id, shared_.time, [this](auto fingerprint) { return guard_.is_suspect(fingerprint); });
            }
            target->apply(pool_settings_of(configuration, id));
        }
    }
    for (auto& [id, target] : pools_) {
        if (present.contains(id))
            continue;
        pool_settings without_servers;
        without_servers.id = id;
        target->apply(without_servers);
    }
    generation_ = 0; // makes the next tick update the peers
}

void pool_registry::tick()
{
    update_ownership();
    probe_servers();
    for (auto& [id, target] : pools_)
        run_schedule(*target);
}

void pool_registry::update_ownership()
{
    if (generation_ != shared_.members.generation()) {
        generation_ = shared_.members.generation();
        update_peers();
    }
    for (auto& [id, target] : pools_)
        update_pool_ownership(*target);
}

void pool_registry::update_pool_ownership(pool& target)
{
    const auto owner = shared_.placement.owner_of(target.id());
    const bool should_own = !leaving_ && owner == shared_.options.instance;
    const auto max_run = target.max_run();
    const auto dispute = shared_.placement.disputed(target.id(), max_run);
    if (should_own && !target.owned()) {
        target.take_over();
        if (dispute.is_disputed())
            disputed_takeovers_.insert(target.id());
    }
    if (!should_own && target.owned() && owner)
        release_ownership(target, *owner);
    if (!target.owned())
        return;
    if (dispute.is_disputed()) {
        const bool present_owner = !disputed_takeovers_.contains(target.id());
        target.dispute(static_cast<std::uint32_t>(dispute.candidates.size()), present_owner);
        return;
    }
    disputed_takeovers_.erase(target.id());
    if (target.disputed())
        target.end_dispute();
}

void pool_registry::release_ownership(pool& target, const core::instance_id& successor)
{
    wire::peer_message message;
    *message.mutable_hand_over_pool() = target.hand_over();
    shared_.send(successor, std::move(message));
    disputed_takeovers_.erase(target.id());
    for (const auto& dropped : target.withdraw_all(core::refusal_reason::not_pool_owner))
        refuse(dropped);
}

void pool_registry::update_peers()
{
    std::vector<credit_peer> peers;
    for (const auto& [instance, member] : shared_.members.all()) {
        if (member.state == state::member_state::failed)
            continue;
        peers.push_back({instance, member.region == shared_.options.region});
    }
    for (auto& [id, target] : pools_)
        target->set_peers(peers);
}

void pool_registry::probe_servers()
{
    if (shared_.time.now() < next_probe_)
        return;
    next_probe_ = shared_.time.now() + shared_.options.probe_interval;
    for (const auto& [id, target] : pools_) {
        if (!target->owned())
            continue;
        for (const auto& [name, server] : target->servers().all())
            shared_.emit(probe_server{id.service, name, server.server().address});
    }
}

std::optional<core::refusal_reason> pool_registry::offer(const core::pool_id& pool_id,
                                                         const pool_request& request)
{
    auto* target = find(pool_id);
    if (target == nullptr || !target->owned())
        return core::refusal_reason::not_pool_owner;
    if (guard_.is_quarantined(request.fingerprint))
        return core::refusal_reason::quarantined;
    if (const auto refusal = target->offer(request))
        return refusal;
    requests_[request.exchange] = {pool_id, request, std::nullopt, false, false};
    run_schedule(*target);
    return std::nullopt;
}

void pool_registry::mark_ready(core::exchange_id exchange)
{
    const auto found = requests_.find(exchange);
    if (found == requests_.end())
        return;
    auto* target = find(found->second.pool);
    found->second.request.ready = true;
    if (target->mark_ready(exchange))
        run_schedule(*target);
}

bool pool_registry::withdraw(core::exchange_id exchange)
{
    const auto found = requests_.find(exchange);
    if (found == requests_.end())
        return false;
    if (find(found->second.pool)->withdraw(exchange)) {
        requests_.erase(found);
        return true;
    }
    if (found->second.request.idempotent)
        cancel(exchange);
    return false;
}

void pool_registry::peer_closed(core::exchange_id exchange)
{
    const auto found = requests_.find(exchange);
    if (found == requests_.end() || is_local(found->second.request))
        return;
    const auto rank = found->second.request.rank;
    if (!withdraw(exchange))
        return;
    shared_.emit(count_refusal{core::refusal_reason::cancelled_by_caller, rank});
    shared_.emit(answer_refused{exchange, core::refusal_reason::cancelled_by_caller, {}, {}});
}

void pool_registry::run_schedule(pool& target)
{
    const auto scheduled = target.schedule();
    for (const auto& run : scheduled.started)
        start(target, run);
    // `refuse` may offer the request to this pool again, so it is called after all started runs were
    // dispatched.
    for (const auto& dropped : scheduled.dropped)
        refuse(dropped);
    for (const auto exchange : target.preempt()) {
        requests_.at(exchange).preempting = true;
        cancel(exchange);
    }
    for (const auto exchange : target.overdue())
        cancel(exchange);
}

void pool_registry::start(const pool& target, const started_run& run)
{
    auto& entry = requests_.at(run.exchange);
    const auto dispatch = shared_.next_dispatch();
    entry.dispatch = dispatch;
    dispatches_[dispatch] = run.exchange;
    if (is_local(entry.request))
        hooks_.starting(run.exchange);
    const auto timeout = std::min(time_left(shared_.time, entry.request.deadline), target.max_run());
    shared_.emit(
        dispatch_to_server{run.exchange, dispatch, run.server, run.address, timeout, run.connection_limit});
}

void pool_registry::cancel(core::exchange_id exchange)
{
    const auto& entry = requests_.at(exchange);
    if (entry.dispatch)
        shared_.emit(cancel_dispatch{*entry.dispatch});
}

void pool_registry::refuse(const dropped_request& dropped)
{
    run_outcome outcome;
    if (requests_.at(dropped.exchange).was_preempted) {
        outcome.unknown = core::unknown_reason::server_timeout;
        outcome.retry = core::retry_reason::preempted;
    }
    else {
        outcome.result = run_outcome::kind::not_run;
        outcome.refusal = dropped.reason;
    }
    end(dropped.exchange, outcome);
}

bool pool_registry::dispatch_finished(core::dispatch_id dispatch, const dispatch_result& result)
{
    const auto found = dispatches_.find(dispatch);
    if (found == dispatches_.end())
        return false;
    const auto exchange = found->second;
    dispatches_.erase(found);
    auto& entry = requests_.at(exchange);
    entry.dispatch.reset();
    auto* target = find(entry.pool);
    const auto finished = target->finish(exchange, run_end_of(result.status));
    if (finished && finished->death)
        report_death(*finished->death);
    else if (finished && result.status == dispatch_status::answered)
        guard_.succeeded(entry.request.fingerprint);
    const bool preempted = entry.preempting && result.status == dispatch_status::cancelled;
    if (!preempted || !requeue(exchange))
        end(exchange, outcome_of_run(result));
    run_schedule(*target);
    return true;
}

void pool_registry::report_death(const server_death& death)
{
    const auto notice = guard_.server_died(death);
    if (!notice)
        return;
    wire::peer_message message;
    *message.mutable_quarantine_notice() = *notice;
    shared_.broadcast(message);
    shared_.emit(write_log{"fingerprint_quarantined", std::to_string(notice->fingerprint())});
    withdraw_fingerprint({notice->fingerprint()});
}

bool pool_registry::requeue(core::exchange_id exchange)
{
    auto& entry = requests_.at(exchange);
    entry.preempting = false;
    entry.was_preempted = true;
    shared_.emit(count_retry{core::retry_reason::preempted, entry.request.rank});
    return !find(entry.pool)->offer(entry.request);
}

void pool_registry::end(core::exchange_id exchange, const run_outcome& outcome)
{
    const auto found = requests_.find(exchange);
    core::ensure(found != requests_.end(), "a request that ends is registered");
    const auto request = found->second.request;
    requests_.erase(found);
    if (is_local(request)) {
        hooks_.ended(exchange, outcome);
        return;
    }
    switch (outcome.result) {
    case run_outcome::kind::done:
        return;
    case run_outcome::kind::not_run:
        shared_.emit(count_refusal{outcome.refusal, request.rank});
        shared_.emit(answer_refused{exchange, outcome.refusal, {}, {}});
        return;
    case run_outcome::kind::lost:
        shared_.emit(count_unknown{outcome.unknown, request.rank});
        shared_.emit(answer_unknown{exchange, outcome.unknown});
        return;
    }
}

void pool_registry::probed(const server_probed& probe)
{
    for (auto& [id, target] : pools_) {
        if (id.service != probe.service || !target->owned())
            continue;
        target->observe(probe);
        run_schedule(*target);
    }
}

void pool_registry::hand_over_received(const wire::hand_over_pool& counts)
{
    const core::pool_id id{core::service_id{counts.service()}, core::data_centre_id{counts.data_centre()}};
    auto* target = find(id);
    if (target == nullptr || leaving_)
        return;
    target->accept(counts);
    run_schedule(*target);
}

void pool_registry::withdraw_fingerprint(core::fingerprint fingerprint)
{
    for (auto& [id, target] : pools_) {
        for (const auto& dropped : target->withdraw_fingerprint(fingerprint))
            refuse(dropped);
    }
}

void pool_registry::leave()
{
    leaving_ = true;
    update_ownership();
}

void pool_registry::refresh_windows()
{
    for (auto& [id, target] : pools_)
        target->refresh_windows();
}

void pool_registry::add_reports(const core::instance_id& peer, wire::heartbeat& message) const
{
    for (const auto& [id, target] : pools_) {
        if (target->owned())
            *message.add_pools() = target->report_for(peer);
    }
}

run_end pool_registry::run_end_of(dispatch_status status)
{
    switch (status) {
    case dispatch_status::answered:
        return run_end::answered;
    case dispatch_status::not_sent:
        return run_end::not_run;
    case dispatch_status::refused:
        return run_end::shed;
    case dispatch_status::timed_out:
        return run_end::timed_out;
    case dispatch_status::cancelled:
        return run_end::cancelled;
    case dispatch_status::unknown:
    case dispatch_status::broken:
    case dispatch_status::truncated:
        break;
    }
    return run_end::died;
}

pool* pool_registry::find(const core::pool_id& id)
{
    const auto found = pools_.find(id);
    return found == pools_.end() ? nullptr : found->second.get();
}

bool pool_registry::is_local(const pool_request& request) const
{
    return request.from == shared_.options.instance;
}

} // namespace knapweed::decision
