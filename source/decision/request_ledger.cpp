#include "decision/request_ledger.h"

#include <algorithm>

namespace knapweed::decision {
namespace {

/** Limit of refused tickets with an excessive expiry. Only a forger or an issuer with a badly wrong clock
    produces them, so few are expected. */
constexpr std::size_t max_overlong_tickets = 1024;

} // namespace

request_ledger::request_ledger(ledger_options options, const core::clock& time)
    : options_(std::move(options)), clock_(time), answers_(options_.kept_answer_bytes)
{}

bool request_ledger::is_final(const request_record& entry)
{
    return entry.current_state == state::done || entry.current_state == state::refused ||
           entry.current_state == state::unknown;
}

ticket request_ledger::parsed_ticket_of(const request_record& entry)
{
    auto parsed_ticket = parse_ticket(entry.id.ticket);
    core::ensure(parsed_ticket.has_value(), "only requests with a valid ticket are recorded");
    return std::move(*parsed_ticket);
}

admission::decision request_ledger::admit(const request_meta& request, core::exchange_id exchange,
                                          ledger_effects& effects)
{
    if (request.idempotent)
        return admission::unrecorded{};
    if (request.key.empty() || request.key.size() > max_key_bytes || request.caller.empty() ||
        request.caller.str().size() > max_caller_bytes)
        return admission::refuse{core::refusal_reason::malformed_request};
    if (request.ticket.empty())
        return admission::needs_claim{};
    auto parsed_ticket = parse_ticket(request.ticket);
    if (!parsed_ticket)
        return admission::refuse{core::refusal_reason::damaged_ticket};
    if (parsed_ticket->owner != options_.instance)
        return admission::owned_elsewhere{std::move(*parsed_ticket)};
    if (parsed_ticket->owner_incarnation != options_.incarnation)
        return admission::owner_restarted{std::move(*parsed_ticket)};

    request_identity id{request.caller, request.ticket, request.key};
    const auto known = by_identity_.find(&id);
    if (known != by_identity_.end())
        return admit_retry(known->second, request, exchange);
    if (auto rejection = check_new_request(request.ticket, *parsed_ticket))
        return std::move(*rejection);
    return admit_new(std::move(id), *parsed_ticket, request, exchange, effects);
}

admission::decision request_ledger::admit_retry(record_id record, const request_meta& request,
                                                core::exchange_id exchange)
{
    auto& entry = records_.at(record);
    if (entry.body_hash != request.body_hash)
        return admission::refuse{core::refusal_reason::key_reused};
    if (entry.current_state == state::refused)
        return admission::refuse{entry.refusal};
    if (entry.current_state == state::unknown)
        return admission::unknown{entry.unknown};
    if (entry.current_state == state::done) {
        if (const auto* answer = answers_.find(record))
            return admission::replay{*answer};
        return admission::unknown{core::unknown_reason::answer_not_kept};
    }
    if (entry.waiting.size() >= options_.max_waiting_per_record)
        return admission::unknown{core::unknown_reason::answer_not_kept};
    const auto deadline = clock_.steady_now() + request.timeout;
    entry.waiting.push_back({exchange, deadline});
    by_exchange_[exchange] = record;
    waiting_deadlines_.emplace(deadline, exchange);
    return admission::wait_for_first_attempt{record};
}

std::optional<admission::decision> request_ledger::check_new_request(const std::string& ticket_text,
                                                                     const ticket& parsed_ticket)
{
    const auto now = clock_.now();
    if (parsed_ticket.expiry <= now)
        return admission::unknown{core::unknown_reason::record_expired};
    if (overlong_tickets_.contains(ticket_text))
        return admission::refuse{core::refusal_reason::damaged_ticket};
    if (parsed_ticket.expiry > now + options_.ticket_lifetime + options_.clock_tolerance)
        return refuse_overlong_ticket(ticket_text, parsed_ticket);
    if (records_.size() >= options_.max_records)
        tickets_rejected_until_ = std::max(tickets_rejected_until_, parsed_ticket.expiry);
    if (parsed_ticket.expiry <= tickets_rejected_until_)
        return admission::refuse{core::refusal_reason::record_table_full};
    return std::nullopt;
}

// As time passes, the ticket's expiry comes within the limit. The refusal is stored so that it holds then
// too.
admission::decision request_ledger::refuse_overlong_ticket(const std::string& ticket_text,
                                                           const ticket& parsed_ticket)
{
    if (overlong_tickets_.size() >= max_overlong_tickets) {
        const auto now = clock_.now();
        std::erase_if(overlong_tickets_, [&](const auto& entry) { return entry.second <= now; });
        if (overlong_tickets_.size() >= max_overlong_tickets)
            return admission::unknown{core::unknown_reason::record_expired};
    }
    overlong_tickets_.emplace(ticket_text, parsed_ticket.expiry);
    return admission::refuse{core::refusal_reason::damaged_ticket};
}

admission::decision request_ledger::admit_new(request_identity id, const ticket& parsed_ticket,
                                              const request_meta& request, core::exchange_id exchange,
                                              ledger_effects& effects)
{
    const record_id record{next_record_++};
    by_exchange_[exchange] = record;
    retention_.emplace(parsed_ticket.expiry + options_.retention, record);
    ++unfinished_;
    auto& entry = records_[record];
    entry.id = std::move(id);
    by_identity_.emplace(&entry.id, record);
    entry.body_hash = request.body_hash;
    entry.first_exchange = exchange;
    if (parsed_ticket.has_witness()) {
        send_intent(entry, effects);
        witness_deadlines_.emplace_back(clock_.steady_now() + options_.witness_timeout, record);
    }
    else {
        entry.current_state = state::ready;
        effects.ready.push_back(record);
    }
    return admission::start{record};
}

void request_ledger::witness_acknowledged(const wire::instance_ref& from, const wire::intent_ack& ack,
                                          ledger_effects& effects)
{
    const auto id = from_wire(ack.request());
    const auto known = id ? by_identity_.find(&*id) : by_identity_.end();
    if (known == by_identity_.end())
        return;
    const auto record = known->second;
    auto& entry = records_.at(record);
    const auto parsed_ticket = parsed_ticket_of(entry);
    if (entry.current_state != state::waiting_for_witness || from.instance() != parsed_ticket.witness.str())
        return;
    const bool same_incarnation = from.incarnation() == parsed_ticket.witness_incarnation.value;
    if (ack.verdict() == wire::recorded && same_incarnation) {
        entry.current_state = state::ready;
        effects.ready.push_back(record);
    }
    else if (ack.verdict() == wire::sealed && same_incarnation) {
        refuse(record, core::refusal_reason::owner_lost, false, effects);
        effects.settled.push_back(record);
    }
    else {
        refuse(record, core::refusal_reason::witness_unavailable, true, effects);
        effects.settled.push_back(record);
    }
}

bool request_ledger::may_dispatch(record_id record) const
{
    const auto found = records_.find(record);
    return found != records_.end() && found->second.current_state == state::ready;
}

void request_ledger::dispatched(record_id record)
{
    core::ensure(may_dispatch(record), "a request is dispatched only when its record permits it");
    records_.at(record).current_state = state::dispatched;
}

void request_ledger::returned_not_run(record_id record)
{
    const auto found = records_.find(record);
    if (found != records_.end() && found->second.current_state == state::dispatched)
        found->second.current_state = state::ready;
}

void request_ledger::finished(record_id record, const request_outcome& outcome, ledger_effects& effects)
{
    const auto found = records_.find(record);
    if (found == records_.end() || is_final(found->second))
        return;
    auto& entry = found->second;
    const bool may_have_run = entry.current_state == state::dispatched;
    const auto* refused = std::get_if<refused_outcome>(&outcome);
    const auto* done = std::get_if<done_outcome>(&outcome);
    if (refused != nullptr && !may_have_run)
        return refuse(record, refused->reason, true, effects);
    if (done == nullptr || !may_have_run) {
        const auto* unknown = std::get_if<unknown_outcome>(&outcome);
        entry.unknown = unknown != nullptr ? unknown->reason : core::unknown_reason::connection_lost;
        set_final_state(entry, state::unknown);
        return answer_exchanges(record, entry, true, effects);
    }
    set_final_state(entry, state::done);
    if (done->kept)
        answers_.keep(record, done->answer);
    if (done->kept && answers_.size_of(done->answer) <= max_witnessed_answer_bytes)
        send_answer(entry, done->answer, effects);
    answer_exchanges(record, entry, false, effects);
}

void request_ledger::refuse(record_id record, core::refusal_reason reason, bool notify_witness,
                            ledger_effects& effects)
{
    auto& entry = records_.at(record);
    entry.refusal = reason;
    set_final_state(entry, state::refused);
    if (notify_witness)
        send_not_run(entry, effects);
    answer_exchanges(record, entry, true, effects);
}

void request_ledger::set_final_state(request_record& entry, state final_state)
{
    entry.current_state = final_state;
    --unfinished_;
}

void request_ledger::answer_exchanges(record_id record, request_record& entry, bool with_first_exchange,
                                      ledger_effects& effects)
{
    if (by_exchange_.erase(entry.first_exchange) > 0 && with_first_exchange)
        effects.answers.push_back(answer_from(record, entry, entry.first_exchange));
    for (const auto& waiting : entry.waiting) {
        by_exchange_.erase(waiting.exchange);
        effects.answers.push_back(answer_from(record, entry, waiting.exchange));
    }
    entry.waiting = {};
}

exchange_answer request_ledger::answer_from(record_id record, const request_record& entry,
                                            core::exchange_id exchange) const
{
    if (entry.current_state == state::refused)
        return answer_refused{exchange, entry.refusal, {}, {}};
    if (entry.current_state == state::unknown)
        return answer_unknown{exchange, entry.unknown};
    if (const auto* answer = answers_.find(record))
        return answer_stored{exchange, *answer};
    return answer_unknown{exchange, core::unknown_reason::answer_not_kept};
}

void request_ledger::exchange_closed(core::exchange_id exchange, ledger_effects& effects)
{
    const auto found = by_exchange_.find(exchange);
    if (found == by_exchange_.end())
        return;
    const auto record = found->second;
    by_exchange_.erase(found);
    auto& entry = records_.at(record);
    std::erase_if(entry.waiting, [&](const auto& waiting) { return waiting.exchange == exchange; });
    if (exchange != entry.first_exchange || entry.current_state == state::dispatched)
        return;
    refuse(record, core::refusal_reason::cancelled_by_caller, true, effects);
    effects.settled.push_back(record);
}

void request_ledger::expire(ledger_effects& effects)
{
    expire_witness_timeouts(effects);
    expire_waiting(effects);
    expire_records();
}

void request_ledger::expire_witness_timeouts(ledger_effects& effects)
{
    const auto now = clock_.steady_now();
    while (!witness_deadlines_.empty() && witness_deadlines_.front().first <= now) {
        const auto record = witness_deadlines_.front().second;
        witness_deadlines_.pop_front();
        const auto found = records_.find(record);
        if (found == records_.end() || found->second.current_state != state::waiting_for_witness)
            continue;
        refuse(record, core::refusal_reason::witness_unavailable, true, effects);
        effects.settled.push_back(record);
    }
}

void request_ledger::expire_waiting(ledger_effects& effects)
{
    const auto now = clock_.steady_now();
    while (!waiting_deadlines_.empty() && waiting_deadlines_.begin()->first <= now) {
        const auto exchange = waiting_deadlines_.begin()->second;
        waiting_deadlines_.erase(waiting_deadlines_.begin());
        const auto found = by_exchange_.find(exchange);
        if (found == by_exchange_.end())
            continue;
        auto& entry = records_.at(found->second);
        by_exchange_.erase(found);
        std::erase_if(entry.waiting, [&](const auto& waiting) { return waiting.exchange == exchange; });
        effects.answers.emplace_back(answer_unknown{exchange, core::unknown_reason::server_timeout});
    }
}

void request_ledger::expire_records()
{
    const auto now = clock_.now();
    for (auto due = retention_.begin(); due != retention_.end() && due->first < now;) {
        const auto found = records_.find(due->second);
        if (!is_final(found->second)) {
            ++due;
            continue;
        }
        answers_.erase(due->second);
        by_identity_.erase(&found->second.id);
        records_.erase(found);
        due = retention_.erase(due);
    }
}

wire::peer_message request_ledger::new_message() const
{
    wire::peer_message result;
    result.mutable_from()->set_instance(options_.instance.str());
    result.mutable_from()->set_incarnation(options_.incarnation.value);
    return result;
}

void request_ledger::send_intent(const request_record& entry, ledger_effects& effects) const
{
    const auto parsed_ticket = parsed_ticket_of(entry);
    auto outgoing = new_message();
    auto& intent = *outgoing.mutable_intent();
    *intent.mutable_request() = to_wire(entry.id);
    intent.set_witness_incarnation(parsed_ticket.witness_incarnation.value);
    intent.set_body_hash(entry.body_hash);
    intent.set_expires_unix_ms(static_cast<std::uint64_t>(parsed_ticket.expiry.time_since_epoch().count()));
    effects.messages.push_back({parsed_ticket.witness, std::move(outgoing)});
}

void request_ledger::send_not_run(const request_record& entry, ledger_effects& effects) const
{
    const auto parsed_ticket = parsed_ticket_of(entry);
    if (!parsed_ticket.has_witness())
        return;
    auto outgoing = new_message();
    auto& outcome = *outgoing.mutable_request_outcome();
    *outcome.mutable_request() = to_wire(entry.id);
    outcome.set_witness_incarnation(parsed_ticket.witness_incarnation.value);
    outcome.set_not_run(true);
    effects.messages.push_back({parsed_ticket.witness, std::move(outgoing)});
}

void request_ledger::send_answer(request_record& entry, const stored_answer& answer,
                                 ledger_effects& effects) const
{
    const auto parsed_ticket = parsed_ticket_of(entry);
    if (!parsed_ticket.has_witness())
        return;
    auto outgoing = new_message();
    auto& outcome = *outgoing.mutable_request_outcome();
    *outcome.mutable_request() = to_wire(entry.id);
    outcome.set_witness_incarnation(parsed_ticket.witness_incarnation.value);
    auto& kept = *outcome.mutable_answer();
    kept.set_status(answer.status);
    kept.set_content_type(answer.content_type);
    kept.set_body(answer.body);
    entry.witness_has_answer = true;
    effects.messages.push_back({parsed_ticket.witness, std::move(outgoing)});
}

void request_ledger::send_answers_to_witness(ledger_effects& effects)
{
    for (auto& [record, entry] : records_) {
        const auto* answer = entry.witness_has_answer ? nullptr : answers_.find(record);
        if (answer != nullptr)
            send_answer(entry, *answer, effects);
    }
}

} // namespace knapweed::decision
