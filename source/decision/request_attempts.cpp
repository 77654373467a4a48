// The part of `request_flow` that attempts a request at pools: routing, forwarding, retries and the final
// outcome.

#include "decision/request_flow.h"

namespace knapweed::decision {

void request_flow::route(core::exchange_id exchange)
{
    while (true) {
        auto& entry = open_requests_.at(exchange);
        const auto choice = routes_.choose(entry.meta.service, entry.meta.rank, entry.excluded_pools);
        if (const auto* refusal = std::get_if<core::refusal_reason>(&choice)) {
            conclude_refused(exchange, entry.last_refusal.value_or(*refusal));
            return;
        }
        const auto& chosen = std::get<pool_choice>(choice);
        add_trace(entry, trace_step::pool_chosen,
                  chosen.pool.data_centre.str() + " owned by " + chosen.owner.str() +
                      (chosen.spilled ? ", spilled" : ""));
        ++entry.attempts;
        if (chosen.owner != shared_.options.instance) {
            assign_remote_pool(exchange, chosen);
            return;
        }
        const auto refusal = offer_to_local_pool(exchange, chosen);
        if (!refusal)
            return;
        // The request was not sent to another instance, so trying another pool needs no retry budget.
        entry.last_refusal = refusal;
        entry.excluded_pools.insert(chosen.pool);
    }
}

std::optional<core::refusal_reason> request_flow::offer_to_local_pool(core::exchange_id exchange,
                                                                      const pool_choice& choice)
{
    const auto& entry = open_requests_.at(exchange);
    pool_request request;
    request.exchange = exchange;
    request.from = shared_.options.instance;
    request.rank = entry.meta.rank;
    request.deadline = entry.deadline;
    request.idempotent = entry.meta.idempotent;
    request.ready = !entry.record || ledger_.may_dispatch(*entry.record);
    request.fingerprint =
        core::fingerprint_of(entry.meta.service, entry.meta.operation, entry.meta.body_hash);
    return pools_->offer(choice.pool, request);
}

void request_flow::assign_remote_pool(core::exchange_id exchange, const pool_choice& choice)
{
    auto& entry = open_requests_.at(exchange);
    entry.remote = remote_attempt{choice, std::nullopt};
    routes_.sent(choice.pool, entry.meta.rank);
    if (!entry.record || ledger_.may_dispatch(*entry.record))
        forward_to_pool_owner(exchange);
}

void request_flow::forward_to_pool_owner(core::exchange_id exchange)
{
    auto& entry = open_requests_.at(exchange);
    const auto dispatch = shared_.next_dispatch();
    entry.remote->dispatch = dispatch;
    entry.dispatched = true;
    if (entry.record)
        ledger_.dispatched(*entry.record);
    pool_relays_[dispatch] = exchange;
    auto request = entry.meta;
    request.timeout = time_left(shared_.time, entry.deadline);
    const auto& choice = entry.remote->choice;
    add_trace(entry, trace_step::dispatched, "to pool owner " + choice.owner.str());
    shared_.emit(relay_to_instance{exchange, dispatch, choice.owner, choice.address, hop::pool,
                                   std::move(request), choice.pool.data_centre});
}

void request_flow::run_starting(core::exchange_id exchange)
{
    auto& entry = open_requests_.at(exchange);
    entry.dispatched = true;
    if (entry.record)
        ledger_.dispatched(*entry.record);
    add_trace(entry, trace_step::dispatched, "to a backend server of this instance's pool");
}

void request_flow::run_ended(core::exchange_id exchange, const run_outcome& outcome)
{
    attempt_ended(exchange, outcome);
}

bool request_flow::dispatch_finished(core::dispatch_id dispatch, const dispatch_result& result)
{
    if (const auto relay = owner_relays_.find(dispatch); relay != owner_relays_.end()) {
        const auto ended = relay->second;
        owner_relays_.erase(relay);
        relay_ended(ended, result);
        return true;
    }
    const auto found = pool_relays_.find(dispatch);
    if (found == pool_relays_.end())
        return false;
    const auto exchange = found->second;
    pool_relays_.erase(found);
    auto& entry = open_requests_.at(exchange);
    routes_.finished(entry.remote->choice.pool, entry.meta.rank, result.answer_bytes);
    entry.excluded_pools.insert(entry.remote->choice.pool);
    entry.remote.reset();
    attempt_ended(exchange, outcome_of_relay(result));
    return true;
}

void request_flow::attempt_ended(core::exchange_id exchange, const run_outcome& outcome)
{
    auto& entry = open_requests_.at(exchange);
    const bool was_dispatched = entry.dispatched;
    entry.dispatched = false;
    switch (outcome.result) {
    case run_outcome::kind::done:
        conclude_done(exchange, outcome.dispatch);
        return;
    case run_outcome::kind::not_run:
        if (entry.record && was_dispatched)
            ledger_.returned_not_run(*entry.record);
        if (!may_retry(entry, outcome)) {
            conclude_refused(exchange,
                             entry.closed ? core::refusal_reason::cancelled_by_caller : outcome.refusal);
            return;
        }
        entry.last_refusal = outcome.refusal;
        break;
    case run_outcome::kind::lost:
        if (!entry.meta.idempotent || !may_retry(entry, outcome)) {
            conclude_unknown(exchange, outcome.unknown);
            return;
        }
        entry.lost_reason = outcome.unknown;
        break;
    }
    add_trace(entry, trace_step::retried, std::string{core::name_of(outcome.retry)});
    shared_.emit(count_retry{outcome.retry, entry.meta.rank});
    route(exchange);
}

bool request_flow::may_retry(const open_request& entry, const run_outcome& outcome)
{
    if (entry.closed || outcome.answer_began || entry.attempts >= max_attempts)
        return false;
    if (outcome.result == run_outcome::kind::not_run && applies_to_every_pool(outcome.refusal))
        return false;
    if (shared_.time.now() >= entry.deadline)
        return false;
    return retries_.take(entry.meta.caller, entry.meta.service);
}

bool request_flow::applies_to_every_pool(core::refusal_reason reason)
{
    return reason == core::refusal_reason::quarantined || reason == core::refusal_reason::expired_in_queue ||
           reason == core::refusal_reason::cancelled_by_caller;
}

void request_flow::conclude_done(core::exchange_id exchange, const dispatch_result& result)
{
    const auto& entry = open_requests_.at(exchange);
    add_trace(entry, trace_step::answered, std::to_string(result.answer_bytes) + " bytes");
    if (!entry.record) {
        remove(exchange);
        return;
    }
    ledger_effects effects;
    ledger_.finished(*entry.record, done_outcome{result.kept, result.answer}, effects);
    remove(exchange);
    apply(effects);
}

void request_flow::conclude_refused(core::exchange_id exchange, core::refusal_reason reason)
{
    const auto& entry = open_requests_.at(exchange);
    if (!entry.record) {
        // A refusal states that the request was not run, but the lost attempt may have run it.
        if (entry.lost_reason)
            answer(answer_unknown{exchange, *entry.lost_reason});
        else
            answer(answer_refused{exchange, reason, {}, {}});
        return;
    }
    ledger_effects effects;
    ledger_.finished(*entry.record, refused_outcome{reason}, effects);
    apply(effects);
    finish_exchange(exchange, answer_refused{exchange, reason, {}, {}});
}

void request_flow::conclude_unknown(core::exchange_id exchange, core::unknown_reason reason)
{
    const auto& entry = open_requests_.at(exchange);
    if (!entry.record) {
        answer(answer_unknown{exchange, reason});
        return;
    }
    ledger_effects effects;
    ledger_.finished(*entry.record, unknown_outcome{reason}, effects);
    apply(effects);
    finish_exchange(exchange, answer_unknown{exchange, reason});
}

void request_flow::finish_exchange(core::exchange_id exchange, const exchange_answer& final_answer)
{
    if (open_requests_.contains(exchange) && open_requests_.at(exchange).closed)
        answer(final_answer);
    else
        remove(exchange);
}

void request_flow::exchange_closed(core::exchange_id exchange)
{
    const auto found = open_requests_.find(exchange);
    if (found == open_requests_.end())
        return;
    auto& entry = found->second;
    entry.closed = true;
    seals_.exchange_closed(exchange);
    claims_.exchange_closed(exchange);
    if (entry.meta.idempotent) {
        if (entry.remote && entry.remote->dispatch)
            shared_.emit(cancel_dispatch{*entry.remote->dispatch});
        else if (pools_->withdraw(exchange))
            refuse_cancelled(exchange);
        return;
    }
    ledger_effects effects;
    ledger_.exchange_closed(exchange, effects);
    apply(effects);
    // An exchange without a record only waited for an answer, so it ends here. A relay to the owner continues
    // and ends the exchange later, so that a retry finds the outcome at the owner.
    if (open_requests_.contains(exchange) && !open_requests_.at(exchange).record &&
        !open_requests_.at(exchange).relayed)
        refuse_cancelled(exchange);
}

void request_flow::refuse_cancelled(core::exchange_id exchange)
{
    shared_.emit(
        count_refusal{core::refusal_reason::cancelled_by_caller, open_requests_.at(exchange).meta.rank});
    shared_.emit(answer_refused{exchange, core::refusal_reason::cancelled_by_caller, {}, {}});
    remove(exchange);
}

void request_flow::withdraw_settled(record_id record)
{
    const auto found = exchange_by_record_.find(record);
    if (found == exchange_by_record_.end())
        return;
    const auto exchange = found->second;
    auto& entry = open_requests_.at(exchange);
    pools_->withdraw(exchange);
    if (entry.remote) {
        routes_.finished(entry.remote->choice.pool, entry.meta.rank, 0);
        entry.remote.reset();
    }
    if (entry.closed)
        refuse_cancelled(exchange);
}

void request_flow::handle_ready(record_id record)
{
    const auto found = exchange_by_record_.find(record);
    if (found == exchange_by_record_.end())
        return;
    const auto exchange = found->second;
    const auto& entry = open_requests_.at(exchange);
    add_trace(entry, trace_step::intent_recorded, "may be dispatched");
    // A record whose ticket names no witness is ready at once, so the request may have been forwarded
    // already.
    if (entry.remote && entry.remote->dispatch)
        return;
    if (entry.remote)
        forward_to_pool_owner(exchange);
    else
        pools_->mark_ready(exchange);
}

} // namespace knapweed::decision
