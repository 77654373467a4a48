#include "decision/ledger_model.h"

#include <algorithm>

namespace knapweed::test {

using namespace decision;
using core::milliseconds;

ledger_model::ledger_model(std::uint64_t seed, model_options options)
    : random_(seed), options_(std::move(options)), operations_(options_.operations)
{
    for (std::size_t i = 0; i < nodes; ++i) {
        nodes_[i].name = core::instance_id{"e" + std::to_string(i)};
        nodes_[i].clock.advance(milliseconds{random_.below(3000)});
        start(nodes_[i]);
    }
}

void ledger_model::start(instance& n)
{
    ++n.start_count;
    if (n.start_count == 1 || options_.broken != broken_rule::restart_keeps_incarnation)
        n.incarnation = {1000 + n.start_count};
    ledger_options ledger{n.name, n.incarnation, ticket_lifetime, milliseconds{2000}, ticket_lifetime};
    witness_options witness{n.name, n.incarnation, ticket_lifetime, milliseconds{2000}, ticket_lifetime};
    if (options_.small_tables) {
        ledger.max_records = 2;
        witness.max_records = 2;
        // With a short retention, records are dropped while tickets of refused requests are still valid.
        ledger.retention = witness.retention = milliseconds{500};
    }
    n.ledger = std::make_unique<request_ledger>(ledger, n.clock);
    n.witness = std::make_unique<witness_log>(witness, n.clock);
    n.seals = std::make_unique<seal_client>(seal_options{n.name, n.incarnation}, n.clock);
}

void ledger_model::issue_ticket(std::size_t operation, std::size_t issuer, std::size_t owner,
                                std::size_t witness)
{
    const auto wall = std::chrono::floor<milliseconds>(nodes_[issuer].clock.wall_now());
    ticket value{nodes_[owner].name, nodes_[owner].incarnation, {}, {}, next_++, wall + ticket_lifetime};
    if (witness != owner) {
        value.witness = nodes_[witness].name;
        value.witness_incarnation = nodes_[witness].incarnation;
    }
    operations_[operation].ticket = encode_ticket(value);
    if (options_.reuse_key && operation == 0 && operations_.size() > 1)
        operations_[1].ticket = operations_[0].ticket;
}

request_meta ledger_model::meta_of(const attempt_identity& identity) const
{
    request_meta meta;
    meta.caller = core::caller_id{"c"};
    meta.ticket = identity.ticket;
    meta.key = identity.key;
    meta.body_hash = identity.operation;
    meta.timeout = milliseconds{2000};
    return meta;
}

std::size_t ledger_model::index_of(const core::instance_id& name) const
{
    return static_cast<std::size_t>(name.str().back() - '0');
}

void ledger_model::attempt(std::size_t operation, std::size_t entry)
{
    const auto& sent = operations_[operation];
    const bool shared = options_.reuse_key && operation <= 1;
    const attempt_identity identity{operation, sent.version, sent.ticket,
                                    shared ? "shared" : std::to_string(operation)};
    network_.post({entry, channel::connection, [=, this] { arrive(entry, identity, {}); }, {}});
}

void ledger_model::arrive(std::size_t entry, const attempt_identity& identity, exchange_id upstream)
{
    const exchange_id exchange{next_++};
    open_[exchange] = {entry, identity, upstream, false, {}};
    ledger_effects effects;
    const auto verdict = nodes_[entry].ledger->admit(meta_of(identity), exchange, effects);
    if (const auto* started = std::get_if<admission::start>(&verdict)) {
        open_[exchange].record = started->record;
        started_[{entry, started->record}] = identity;
        if (options_.broken == broken_rule::dispatch_without_acknowledgement) {
            const auto parsed_ticket = parse_ticket(identity.ticket);
            wire::instance_ref from;
            from.set_instance(parsed_ticket->witness.str());
            from.set_incarnation(parsed_ticket->witness_incarnation.value);
            wire::intent_ack forged;
            *forged.mutable_request() =
                to_wire(request_identity{core::caller_id{"c"}, identity.ticket, identity.key});
            nodes_[entry].ledger->witness_acknowledged(from, forged, effects);
        }
    }
    apply(entry, effects);
    decide(exchange, verdict);
}

void ledger_model::decide(exchange_id exchange, const admission::decision& verdict)
{
    if (const auto* replayed = std::get_if<admission::replay>(&verdict))
        respond(exchange, answer_stored{exchange, replayed->answer});
    else if (const auto* refused = std::get_if<admission::refuse>(&verdict))
        respond(exchange, answer_refused{exchange, refused->reason, {}, {}});
    else if (const auto* lost = std::get_if<admission::unknown>(&verdict))
        respond(exchange, answer_unknown{exchange, lost->reason});
    else if (const auto* other = std::get_if<admission::owned_elsewhere>(&verdict))
        relay(exchange, other->parsed_ticket);
    else if (const auto* restarted = std::get_if<admission::owner_restarted>(&verdict))
        seal(exchange, restarted->parsed_ticket);
}

void ledger_model::relay(exchange_id exchange, const ticket& parsed_ticket)
{
    auto& entry = open_.at(exchange);
    entry.relaying = true;
    const auto owner = index_of(parsed_ticket.owner);
    network_.post({owner, channel::connection,
                   [this, owner, exchange, identity = entry.identity] { arrive(owner, identity, exchange); },
                   [this, exchange] { relay_failed(exchange); }});
}

void ledger_model::relay_failed(exchange_id exchange)
{
    const auto found = open_.find(exchange);
    if (found == open_.end())
        return;
    network_.post({found->second.node,
                   channel::local,
                   [this, exchange] {
                       const auto entry = open_.find(exchange);
                       if (entry == open_.end() || !entry->second.relaying)
                           return;
                       entry->second.relaying = false;
                       seal(exchange, *parse_ticket(entry->second.identity.ticket));
                   },
                   {}});
}

void ledger_model::give_up_relays()
{
    for (const auto& [exchange, entry] : open_) {
        if (entry.relaying)
            relay_failed(exchange);
    }
}

void ledger_model::seal(exchange_id exchange, const ticket& parsed_ticket)
{
    const auto& entry = open_.at(exchange);
    const auto node = entry.node;
    ledger_effects effects;
    nodes_[node].seals->start(meta_of(entry.identity), parsed_ticket, exchange, effects);
    apply(node, effects);
}

void ledger_model::apply(std::size_t node, const ledger_effects& effects)
{
    for (const auto& sent : effects.messages) {
        const auto target = index_of(sent.instance);
        network_.post({target,
                       channel::message,
                       [this, target, message = sent.message] { receive(target, message); },
                       {}});
    }
    for (const auto& answer : effects.answers)
        respond(std::visit([](const auto& a) { return a.exchange; }, answer), answer);
    for (const auto record : effects.ready)
        post_local(node, [this, node, record] { dispatch(node, record); });
}

void ledger_model::post_local(std::size_t node, std::function<void()> action)
{
    network_.post({node,
                   channel::local,
                   [this, node, action = std::move(action), start_count = nodes_[node].start_count] {
                       if (nodes_[node].start_count == start_count)
                           action();
                   },
                   {}});
}

void ledger_model::receive(std::size_t node, const wire::peer_message& message)
{
    auto& n = nodes_[node];
    const auto reply_to = [&](const wire::peer_message& reply) {
        const auto target = index_of(core::instance_id{message.from().instance()});
        network_.post({target, channel::message, [this, target, reply] { receive(target, reply); }, {}});
    };
    ledger_effects effects;
    switch (message.body_case()) {
    case wire::peer_message::kIntent:
        return reply_to(n.witness->intent_received(message.from(), message.intent()));
    case wire::peer_message::kSeal: {
        auto reply = n.witness->seal_received(message.seal());
        if (options_.broken == broken_rule::seal_despite_intent)
            reply.mutable_seal_reply()->set_verdict(wire::seal_not_run);
        return reply_to(reply);
    }
    case wire::peer_message::kRequestOutcome:
        return n.witness->outcome_received(message.from(), message.request_outcome());
    case wire::peer_message::kIntentAck:
        n.ledger->witness_acknowledged(message.from(), message.intent_ack(), effects);
        return apply(node, effects);
    default:
        n.seals->reply_received(message.from(), message.seal_reply(), effects);
        return apply(node, effects);
    }
}

void ledger_model::dispatch(std::size_t node, record_id record)
{
    auto& ledger = *nodes_[node].ledger;
    if (!ledger.may_dispatch(record))
        return;
    const auto identity = started_.at({node, record});
    if (options_.pool_refuses()) {
        if (options_.broken != broken_rule::refusal_without_record)
            return finish(node, record, refused_outcome{core::refusal_reason::queue_full});
        deliver_to_caller(identity, answer_refused{{}, core::refusal_reason::queue_full, {}, {}});
    }
    ledger.dispatched(record);
    network_.post({nodes, channel::connection,
                   [this, node, record, identity, start_count = nodes_[node].start_count] {
                       run(node, start_count, record, identity);
                   },
                   [this, node, record, start_count = nodes_[node].start_count] {
                       if (nodes_[node].start_count == start_count)
                           post_local(node, [this, node, record] {
                               nodes_[node].ledger->returned_not_run(record);
                               dispatch(node, record);
                           });
                   }});
}

void ledger_model::run(std::size_t node, std::uint64_t start_count, record_id record,
                       const attempt_identity& identity)
{
    const auto behaviour = options_.server();
    request_outcome outcome = unknown_outcome{core::unknown_reason::server_died};
    if (behaviour == server_behaviour::sheds)
        outcome = refused_outcome{core::refusal_reason::server_refused};
    else
        observed_.ran(identity);
    if (behaviour == server_behaviour::answers)
        outcome = done_outcome{true, {200, "text/plain", plain_ledger::answer_of(identity.operation)}};
    if (nodes_[node].start_count != start_count)
        return;
    post_local(node, [=, this] {
        if (behaviour == server_behaviour::sheds)
            nodes_[node].ledger->returned_not_run(record);
        finish(node, record, outcome);
    });
}

void ledger_model::finish(std::size_t node, record_id record, const request_outcome& outcome)
{
    ledger_effects effects;
    nodes_[node].ledger->finished(record, outcome, effects);
    if (const auto* done = std::get_if<done_outcome>(&outcome)) {
        for (const auto& [exchange, entry] : open_) {
            if (entry.node == node && entry.record == record)
                effects.answers.emplace_back(answer_stored{exchange, done->answer});
        }
    }
    apply(node, effects);
}

void ledger_model::respond(exchange_id exchange, const exchange_answer& answer)
{
    const auto found = open_.find(exchange);
    if (found == open_.end())
        return;
    const auto closed = found->second;
    open_.erase(found);
    if (closed.upstream.value == 0)
        return network_.post(
            {nodes,
             channel::connection,
             [this, identity = closed.identity, answer] { deliver_to_caller(identity, answer); },
             {}});
    const auto upstream = open_.find(closed.upstream);
    if (upstream == open_.end())
        return;
    network_.post({upstream->second.node, channel::connection,
                   [this, up = closed.upstream, answer] {
                       const auto waiting = open_.find(up);
                       if (waiting != open_.end() && waiting->second.relaying)
                           respond(up, answer);
                   },
                   [this, up = closed.upstream] { relay_failed(up); }});
}

void ledger_model::deliver_to_caller(const attempt_identity& identity, const exchange_answer& answer)
{
    observed_.answer_delivered(identity, answer);
    if (!std::holds_alternative<answer_refused>(answer))
        return;
    auto& current = operations_[identity.operation];
    if (current.version != identity.version)
        return;
    ++current.version;
    const auto owner = random_.below(nodes);
    const auto kept = operations_.size() > 1 ? operations_[1] : caller_operation{};
    issue_ticket(identity.operation, random_.below(nodes), owner, random_.below(nodes));
    if (identity.operation == 0 && operations_.size() > 1)
        operations_[1] = kept; // operations 0 and 1 share only their first ticket
}

void ledger_model::kill(std::size_t node)
{
    std::vector<exchange_id> broken;
    std::erase_if(open_, [&](const auto& entry) {
        if (entry.second.node == node)
            broken.push_back(entry.second.upstream);
        return entry.second.node == node;
    });
    for (const auto upstream : broken)
        relay_failed(upstream);
    network_.resume(node);
    start(nodes_[node]);
}

void ledger_model::disconnect(std::size_t pick)
{
    std::vector<exchange_id> of_callers;
    for (const auto& [exchange, entry] : open_) {
        if (entry.upstream.value == 0)
            of_callers.push_back(exchange);
    }
    if (!of_callers.empty())
        close(of_callers[pick % of_callers.size()]);
}

void ledger_model::close(exchange_id exchange)
{
    const auto node = open_.at(exchange).node;
    open_.erase(exchange);
    post_local(node, [this, node, exchange] {
        ledger_effects effects;
        nodes_[node].ledger->exchange_closed(exchange, effects);
        nodes_[node].seals->exchange_closed(exchange);
        apply(node, effects);
    });
    const auto relayed = std::find_if(open_.begin(), open_.end(),
                                      [&](const auto& entry) { return entry.second.upstream == exchange; });
    if (relayed != open_.end())
        close(relayed->first);
}

void ledger_model::advance(milliseconds step)
{
    for (auto& n : nodes_)
        n.clock.advance(step);
    for (std::size_t i = 0; i < nodes; ++i) {
        if (network_.paused(i))
            continue;
        ledger_effects effects;
        nodes_[i].ledger->expire(effects);
        nodes_[i].seals->expire(effects);
        nodes_[i].witness->expire();
        apply(i, effects);
    }
}

void ledger_model::settle()
{
    for (std::size_t round = 0; round <= nodes; ++round) {
        for (std::size_t i = 0; i < nodes; ++i)
            network_.resume(i);
        network_.deliver_all();
        for (std::size_t i = 0; round < nodes && i < operations_.size(); ++i)
            attempt(i, round);
        advance(milliseconds{300});
    }
}

} // namespace knapweed::test
