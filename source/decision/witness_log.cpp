#include "decision/witness_log.h"

#include <algorithm>

namespace knapweed::decision {

witness_log::witness_log(witness_options options, const core::clock& time)
    : options_(std::move(options)), clock_(time), answers_(options_.kept_answer_bytes)
{}

wire::peer_message witness_log::new_message() const
{
    wire::peer_message result;
    result.mutable_from()->set_instance(options_.instance.str());
    result.mutable_from()->set_incarnation(options_.incarnation.value);
    return result;
}

wire::peer_message witness_log::intent_received(const wire::instance_ref& from, const wire::intent& intent)
{
    auto reply = new_message();
    *reply.mutable_intent_ack()->mutable_request() = intent.request();
    reply.mutable_intent_ack()->set_verdict(record_intent(from, intent));
    return reply;
}

wire::intent_verdict witness_log::record_intent(const wire::instance_ref& from, const wire::intent& intent)
{
    if (intent.witness_incarnation() != options_.incarnation.value)
        return wire::wrong_incarnation;
    const auto id = from_wire(intent.request());
    const auto parsed_ticket = id ? matching_ticket(*id, intent.witness_incarnation()) : std::nullopt;
    if (!parsed_ticket || from.instance() != parsed_ticket->owner.str() ||
        from.incarnation() != parsed_ticket->owner_incarnation.value)
        return wire::wrong_incarnation;
    const auto known = records_.find(*id);
    if (known != records_.end())
        return known->second.current_state == state::sealed ? wire::sealed : wire::recorded;
    if (!is_unexpired(*parsed_ticket))
        return wire::sealed;
    if (!can_add(*parsed_ticket))
        return wire::witness_full;
    add(*id, *parsed_ticket, {state::intended, intent.body_hash()});
    return wire::recorded;
}

wire::peer_message witness_log::seal_received(const wire::seal& seal)
{
    auto reply_message = new_message();
    auto& reply = *reply_message.mutable_seal_reply();
    *reply.mutable_request() = seal.request();
    reply.set_body_hash(seal.body_hash());
    reply.set_verdict(wire::seal_unknown);
    const auto request = sealed_from_wire(seal.request(), seal.body_hash());
    if (!request)
        return reply_message;
    reply.set_verdict(record_seal(*request, seal.witness_incarnation()));
    if (reply.verdict() != wire::seal_done)
        return reply_message;
    const auto* answer = answers_.find(request->id);
    auto& kept = *reply.mutable_answer();
    kept.set_status(answer->status);
    kept.set_content_type(answer->content_type);
    kept.set_body(answer->body);
    return reply_message;
}

wire::seal_verdict witness_log::record_seal(const sealed_request& request, std::uint64_t witness_incarnation)
{
    const auto parsed_ticket = matching_ticket(request.id, witness_incarnation);
    if (!parsed_ticket)
        return wire::seal_unknown;
    const auto known = records_.find(request.id);
    if (known != records_.end()) {
        if (known->second.current_state == state::sealed)
            return wire::seal_not_run;
        const bool has_matching_answer =
            known->second.body_hash == request.body_hash && answers_.find(request.id) != nullptr;
        return known->second.current_state == state::done && has_matching_answer ? wire::seal_done
                                                                                 : wire::seal_unknown;
    }
    if (!is_unexpired(*parsed_ticket) || !can_add(*parsed_ticket))
        return wire::seal_unknown;
    add(request.id, *parsed_ticket, {state::sealed, request.body_hash});
    return wire::seal_not_run;
}

void witness_log::outcome_received(const wire::instance_ref& from, const wire::request_outcome& outcome)
{
    const auto id = from_wire(outcome.request());
    const auto parsed_ticket = id ? matching_ticket(*id, outcome.witness_incarnation()) : std::nullopt;
    if (!parsed_ticket || from.instance() != parsed_ticket->owner.str() ||
        from.incarnation() != parsed_ticket->owner_incarnation.value)
        return;
    const auto known = records_.find(*id);
    if (known == records_.end()) {
        // The intent may have been lost. The refusal is stored as a seal, because either means that the
        // request never runs.
        if (outcome.not_run() && is_unexpired(*parsed_ticket) && can_add(*parsed_ticket))
            add(*id, *parsed_ticket, {state::sealed, 0});
        return;
    }
    if (known->second.current_state != state::intended)
        return;
    if (outcome.not_run()) {
        known->second.current_state = state::sealed;
    }
    else if (outcome.has_answer()) {
        known->second.current_state = state::done;
        answers_.keep(*id,
                      {outcome.answer().status(), outcome.answer().content_type(), outcome.answer().body()});
    }
}

void witness_log::expire()
{
    const auto now = clock_.now();
    while (!scheduled_drops_.empty() && scheduled_drops_.front().drop_time < now) {
        std::pop_heap(scheduled_drops_.begin(), scheduled_drops_.end(), drops_later{});
        const auto dropped = records_.find(*scheduled_drops_.back().id);
        scheduled_drops_.pop_back();
        answers_.erase(dropped->first);
        records_.erase(dropped);
    }
}

std::optional<ticket> witness_log::matching_ticket(const request_identity& id,
                                                   std::uint64_t incarnation) const
{
    if (incarnation != options_.incarnation.value)
        return std::nullopt;
    auto parsed_ticket = parse_ticket(id.ticket);
    if (!parsed_ticket || parsed_ticket->witness != options_.instance ||
        parsed_ticket->witness_incarnation != options_.incarnation)
        return std::nullopt;
    return parsed_ticket;
}

bool witness_log::is_unexpired(const ticket& parsed_ticket) const
{
    return parsed_ticket.expiry > clock_.now();
}

bool witness_log::can_add(const ticket& parsed_ticket) const
{
    return records_.size() < options_.max_records &&
           parsed_ticket.expiry <= clock_.now() + options_.ticket_lifetime + options_.clock_tolerance;
}

void witness_log::add(const request_identity& id, const ticket& parsed_ticket, record entry)
{
    const auto added = records_.emplace(id, entry).first;
    scheduled_drops_.push_back({parsed_ticket.expiry + options_.retention, &added->first});
    std::push_heap(scheduled_drops_.begin(), scheduled_drops_.end(), drops_later{});
}

} // namespace knapweed::decision
