#include "decision/seal_client.h"

#include <algorithm>

namespace knapweed::decision {
namespace {

exchange_answer answer_of(core::exchange_id exchange, const wire::seal_reply& reply, bool same_incarnation)
{
    if (same_incarnation && reply.verdict() == wire::seal_not_run)
        return answer_refused{exchange, core::refusal_reason::owner_lost, {}, {}};
    if (same_incarnation && reply.verdict() == wire::seal_done && reply.has_answer()) {
        const auto& kept = reply.answer();
        return answer_stored{exchange, {kept.status(), kept.content_type(), kept.body()}};
    }
    return answer_unknown{exchange, same_incarnation ? core::unknown_reason::owner_lost
                                                     : core::unknown_reason::witness_lost};
}

} // namespace

seal_client::seal_client(seal_options options, const core::clock& time)
    : options_(std::move(options)), time_(time)
{}

void seal_client::start(const request_meta& request, const ticket& parsed_ticket, core::exchange_id exchange,
                        ledger_effects& effects)
{
    if (!parsed_ticket.has_witness()) {
        effects.answers.emplace_back(answer_unknown{exchange, core::unknown_reason::owner_lost});
        return;
    }
    sealed_request request_to_seal{{request.caller, request.ticket, request.key}, request.body_hash};
    const auto known = pending_.find(request_to_seal);
    const bool full = by_exchange_.size() >= options_.max_pending ||
                      (known == pending_.end() && deadlines_.size() >= options_.max_pending);
    if (full) {
        effects.answers.emplace_back(answer_unknown{exchange, core::unknown_reason::witness_lost});
        return;
    }
    by_exchange_.emplace(exchange, request_to_seal);
    if (known != pending_.end()) {
        known->second.waiting.push_back(exchange);
        return;
    }
    message_to_peer outgoing{parsed_ticket.witness, {}};
    outgoing.message.mutable_from()->set_instance(options_.instance.str());
    outgoing.message.mutable_from()->set_incarnation(options_.incarnation.value);
    auto& seal = *outgoing.message.mutable_seal();
    *seal.mutable_request() = to_wire(request_to_seal.id);
    seal.set_body_hash(request_to_seal.body_hash);
    seal.set_witness_incarnation(parsed_ticket.witness_incarnation.value);
    seal.set_expires_unix_ms(static_cast<std::uint64_t>(parsed_ticket.expiry.time_since_epoch().count()));
    effects.messages.push_back(std::move(outgoing));
    const auto deadline = time_.now() + options_.timeout;
    deadlines_.emplace_back(deadline, request_to_seal);
    pending_.emplace(
        std::move(request_to_seal),
        pending_seal{parsed_ticket.witness, parsed_ticket.witness_incarnation, deadline, {exchange}});
}

void seal_client::reply_received(const wire::instance_ref& from, const wire::seal_reply& reply,
                                 ledger_effects& effects)
{
    const auto request = sealed_from_wire(reply.request(), reply.body_hash());
    const auto found = request ? pending_.find(*request) : pending_.end();
    if (found == pending_.end() || from.instance() != found->second.witness.str())
        return;
    const bool same_incarnation = from.incarnation() == found->second.witness_incarnation.value;
    for (const auto exchange : found->second.waiting)
        effects.answers.push_back(answer_of(exchange, reply, same_incarnation));
    remove(found);
}

void seal_client::exchange_closed(core::exchange_id exchange)
{
    const auto found = by_exchange_.find(exchange);
    if (found == by_exchange_.end())
        return;
    std::erase(pending_.at(found->second).waiting, exchange);
    by_exchange_.erase(found);
}

void seal_client::expire(ledger_effects& effects)
{
    while (!deadlines_.empty() && deadlines_.front().first <= time_.now()) {
        const auto [deadline, request] = std::move(deadlines_.front());
        deadlines_.pop_front();
        const auto found = pending_.find(request);
        if (found == pending_.end() || found->second.deadline != deadline)
            continue;
        for (const auto exchange : found->second.waiting)
            effects.answers.emplace_back(answer_unknown{exchange, core::unknown_reason::witness_lost});
        remove(found);
    }
}

void seal_client::remove(pending_map::iterator entry)
{
    for (const auto exchange : entry->second.waiting)
        by_exchange_.erase(exchange);
    pending_.erase(entry);
}

} // namespace knapweed::decision
