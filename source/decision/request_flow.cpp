#include "decision/request_flow.h"

namespace knapweed::decision {

namespace {

ledger_options ledger_options_of(const node_options& node)
{
    ledger_options options;
    options.instance = node.instance;
    options.incarnation = node.incarnation;
    options.ticket_lifetime = node.ticket_lifetime;
    options.retention = node.ticket_lifetime;
    options.witness_timeout = node.witness_timeout;
    options.max_records = node.request_records;
    return options;
}

witness_options witness_options_of(const node_options& node)
{
    witness_options options;
    options.instance = node.instance;
    options.incarnation = node.incarnation;
    options.ticket_lifetime = node.ticket_lifetime;
    options.retention = node.ticket_lifetime;
    options.max_records = node.request_records;
    return options;
}

seal_options seal_options_of(const node_options& node)
{
    seal_options options;
    options.instance = node.instance;
    options.incarnation = node.incarnation;
    options.timeout = node.witness_timeout;
    return options;
}

claim_options claim_options_of(const node_options& node)
{
    claim_options options;
    options.call_timeout = node.platform_timeout;
    return options;
}

/** @returns whether a refusal with this reason may carry a fresh ticket. After a failed claim or with a
    reused key, an earlier attempt may have run, and a fresh ticket would allow a second run. */
bool allows_new_attempt(core::refusal_reason reason)
{
    return reason != core::refusal_reason::claim_unavailable && reason != core::refusal_reason::key_reused;
}

} // namespace

request_flow::request_flow(node_context& shared, router& routes, crash_guard& guard,
                           state::platform_client& platform)
    : shared_(shared), routes_(routes), guard_(guard), platform_(platform),
      ledger_(ledger_options_of(shared.options), shared.time),
      witness_log_(witness_options_of(shared.options), shared.time),
      seals_(seal_options_of(shared.options), shared.time),
      claims_(claim_options_of(shared.options), shared.time,
              [&shared] { return core::call_id{shared.next_dispatch().value}; }),
      retries_({}, shared.time), tickets_(shared, ledger_)
{}

void request_flow::request_received(const decision::request_received& input)
{
    open_request entry;
    entry.meta = input.request;
    entry.from = input.from;
    entry.deadline = shared_.time.now() + input.request.timeout;
    add_trace(entry, trace_step::received, std::string{core::name_of(input.request.rank)});
    open_requests_[input.exchange] = std::move(entry);
    retries_.request_received(input.request.caller, input.request.service);
    admit(input.exchange);
}

void request_flow::admit(core::exchange_id exchange)
{
    ledger_effects effects;
    const auto decision = ledger_.admit(open_requests_.at(exchange).meta, exchange, effects);
    std::visit([&](const auto& value) { handle_admission(exchange, value); }, decision);
    apply(effects);
}

void request_flow::handle_admission(core::exchange_id exchange, const admission::start& decision)
{
    open_requests_.at(exchange).record = decision.record;
    exchange_by_record_[decision.record] = exchange;
    start_attempts(exchange);
}

void request_flow::handle_admission(core::exchange_id /*exchange*/,
                                    const admission::wait_for_first_attempt& /*decision*/)
{
    // Nothing to do: the ledger answers the exchange when the first attempt ends.
}

void request_flow::handle_admission(core::exchange_id exchange, const admission::replay& decision)
{
    answer(answer_stored{exchange, decision.answer});
}

void request_flow::handle_admission(core::exchange_id exchange, const admission::refuse& decision)
{
    answer(answer_refused{exchange, decision.reason, {}, {}});
}

void request_flow::handle_admission(core::exchange_id exchange, const admission::unknown& decision)
{
    answer(answer_unknown{exchange, decision.reason});
}

void request_flow::handle_admission(core::exchange_id exchange, const admission::owned_elsewhere& decision)
{
    auto& entry = open_requests_.at(exchange);
    if (entry.from != hop::caller) {
        answer(answer_unknown{exchange, core::unknown_reason::owner_lost});
        return;
    }
    const auto* owner = shared_.members.find(decision.parsed_ticket.owner);
    if (owner == nullptr || owner->state == state::member_state::failed ||
        owner->incarnation != decision.parsed_ticket.owner_incarnation) {
        seal(exchange, decision.parsed_ticket);
        return;
    }
    const auto dispatch = shared_.next_dispatch();
    owner_relays_[dispatch] = {exchange, decision.parsed_ticket};
    entry.relayed = true;
    auto request = entry.meta;
    request.timeout = time_left(shared_.time, entry.deadline);
    add_trace(entry, trace_step::relayed_to_owner, owner->instance.str());
    shared_.emit(relay_to_instance{
        exchange, dispatch, owner->instance, owner->address, hop::request_owner, std::move(request), {}});
}

void request_flow::handle_admission(core::exchange_id exchange, const admission::owner_restarted& decision)
{
    if (open_requests_.at(exchange).from == hop::caller)
        seal(exchange, decision.parsed_ticket);
    else
        answer(answer_unknown{exchange, core::unknown_reason::owner_lost}); // the sender seals the request
}

void request_flow::handle_admission(core::exchange_id exchange, const admission::unrecorded& /*decision*/)
{
    start_attempts(exchange);
}

void request_flow::handle_admission(core::exchange_id exchange, const admission::needs_claim& /*decision*/)
{
    const auto& entry = open_requests_.at(exchange);
    claim_effects effects;
    claims_.start(entry.meta, tickets_.issue(), exchange, effects);
    apply(effects);
}

void request_flow::start_attempts(core::exchange_id exchange)
{
    const auto& entry = open_requests_.at(exchange);
    if (!routes_.has_service(entry.meta.service)) {
        conclude_refused(exchange, core::refusal_reason::unknown_service);
        return;
    }
    const auto fingerprint =
        core::fingerprint_of(entry.meta.service, entry.meta.operation, entry.meta.body_hash);
    if (guard_.is_quarantined(fingerprint)) {
        conclude_refused(exchange, core::refusal_reason::quarantined);
        return;
    }
    if (entry.record)
        add_trace(entry, trace_step::intent_sent, "waits for the witness unless the ticket names none");
    route(exchange);
}

void request_flow::relay_ended(const owner_relay& relay, const dispatch_result& result)
{
    const auto found = open_requests_.find(relay.exchange);
    if (found == open_requests_.end())
        return;
    found->second.relayed = false;
    switch (result.status) {
    case dispatch_status::answered:
    case dispatch_status::truncated: // the network layer has closed the exchange
        remove(relay.exchange);
        return;
    case dispatch_status::refused:
        answer(answer_refused{relay.exchange, result.refusal, {}, {}});
        return;
    case dispatch_status::unknown:
        if (result.unknown != core::unknown_reason::owner_lost) {
            answer(answer_unknown{relay.exchange, result.unknown});
            return;
        }
        break;
    default:
        break;
    }
    if (found->second.closed)
        refuse_cancelled(relay.exchange); // the caller has disconnected, so the outcome isn't needed
    else
        seal(relay.exchange, relay.parsed_ticket);
}

void request_flow::seal(core::exchange_id exchange, const ticket& parsed_ticket)
{
    ledger_effects effects;
    const auto& entry = open_requests_.at(exchange);
    add_trace(entry, trace_step::sealed, "owner " + parsed_ticket.owner.str() + " not reached");
    seals_.start(entry.meta, parsed_ticket, exchange, effects);
    apply(effects);
}

bool request_flow::message_received(const wire::peer_message& message)
{
    ledger_effects effects;
    const core::instance_id sender{message.from().instance()};
    switch (message.body_case()) {
    case wire::peer_message::kIntent:
        shared_.send(sender, witness_log_.intent_received(message.from(), message.intent()));
        return true;
    case wire::peer_message::kSeal:
        shared_.send(sender, witness_log_.seal_received(message.seal()));
        return true;
    case wire::peer_message::kRequestOutcome:
        witness_log_.outcome_received(message.from(), message.request_outcome());
        return true;
    case wire::peer_message::kIntentAck:
        ledger_.witness_acknowledged(message.from(), message.intent_ack(), effects);
        apply(effects);
        return true;
    case wire::peer_message::kSealReply:
        seals_.reply_received(message.from(), message.seal_reply(), effects);
        apply(effects);
        return true;
    default:
        return false;
    }
}

void request_flow::tick()
{
    ledger_effects effects;
    ledger_.expire(effects);
    seals_.expire(effects);
    apply(effects);
    witness_log_.expire();
    claim_effects claims;
    claims_.expire(claims);
    apply(claims);
}

void request_flow::send_answers_to_witnesses()
{
    ledger_effects effects;
    ledger_.send_answers_to_witness(effects);
    apply(effects);
}

std::string request_flow::fresh_ticket(const std::vector<endpoint>& endpoints)
{
    return tickets_.issue_for(endpoints);
}

void request_flow::apply(const ledger_effects& effects)
{
    for (const auto& message : effects.messages)
        send_or_handle(message);
    for (const auto record : effects.settled)
        withdraw_settled(record);
    for (const auto& next : effects.answers)
        answer(next);
    for (const auto record : effects.ready)
        handle_ready(record);
}

void request_flow::apply(const claim_effects& effects)
{
    for (const auto& next : effects.calls) {
        const auto call = next.call;
        const bool accepted = platform_.submit(next.operation, [this, call](state::platform_reply reply) {
            reply.call = call;
            claim_effects after;
            claims_.replied(reply, after);
            apply(after);
        });
        if (accepted)
            continue;
        state::platform_reply reply;
        reply.call = call;
        reply.status = state::platform_status::unreachable;
        claim_effects after;
        claims_.replied(reply, after);
        apply(after);
    }
    for (const auto& next : effects.answers)
        answer(next);
    for (const auto& bound : effects.bound) {
        const auto found = open_requests_.find(bound.exchange);
        if (found == open_requests_.end())
            continue;
        found->second.meta = bound.request;
        admit(bound.exchange);
    }
}

void request_flow::send_or_handle(const message_to_peer& message)
{
    if (message.instance != shared_.options.instance) {
        shared_.send(message.instance, message.message);
        return;
    }
    auto local_message = message.message;
    *local_message.mutable_from() = shared_.self();
    message_received(local_message);
}

void request_flow::answer(const exchange_answer& final_answer)
{
    const auto exchange = std::visit([](const auto& value) { return value.exchange; }, final_answer);
    const auto found = open_requests_.find(exchange);
    if (found == open_requests_.end())
        return;
    const auto& entry = found->second;
    const auto rank = entry.meta.rank;
    if (const auto* refused = std::get_if<answer_refused>(&final_answer)) {
        add_trace(entry, trace_step::refused, std::string{core::name_of(refused->reason)});
        shared_.emit(count_refusal{refused->reason, rank});
        auto with_ticket = *refused;
        if (allows_new_attempt(refused->reason))
            with_ticket.ticket = tickets_.issue();
        shared_.emit(std::move(with_ticket));
    }
    else if (const auto* unknown = std::get_if<answer_unknown>(&final_answer)) {
        add_trace(entry, trace_step::unknown, std::string{core::name_of(unknown->reason)});
        shared_.emit(count_unknown{unknown->reason, rank});
        shared_.emit(*unknown);
    }
    else {
        add_trace(entry, trace_step::answered, "answer kept from the first run");
        shared_.emit(std::get<answer_stored>(final_answer));
    }
    remove(exchange);
}

void request_flow::remove(core::exchange_id exchange)
{
    const auto found = open_requests_.find(exchange);
    if (found == open_requests_.end())
        return;
    if (found->second.record)
        exchange_by_record_.erase(*found->second.record);
    open_requests_.erase(found);
}

void request_flow::add_trace(const open_request& entry, trace_step step, std::string detail)
{
    if (!entry.meta.key.empty())
        shared_.trace.add(entry.meta.caller.str() + "/" + entry.meta.key, step, std::move(detail));
}

} // namespace knapweed::decision
