/** Carries out the actions of the simulated entry nodes: replies, relays, dispatches, messages and platform
 * calls. */

#include "matrix/cluster.h"

namespace knapweed::matrix {

namespace {

using decision::dispatch_result;
using decision::dispatch_status;

constexpr core::milliseconds server_latency{1};
constexpr core::milliseconds probe_latency{6};
constexpr core::milliseconds connect_timeout{300};
constexpr core::milliseconds resend_interval{200};
constexpr core::milliseconds duplicate_delay{300};

} // namespace

std::uint64_t simulated_cluster::request(int node, const decision::request_received& input,
                                         const attempt_tag& tag, reply_hook reply_to)
{
    if (!is_up(node))
        return 0;
    const auto id = next_id_++;
    auto& target = state_of(node);
    target.open_exchanges[id] = {tag, std::move(reply_to), false, events.now() + input.request.timeout, 0};
    tags_by_key_[input.request.caller.str() + "/" + input.request.key] = tag;
    auto event = input;
    event.exchange = {id};
    in_process({node, target.process_number}, [this, node, event, tag] {
        handle(node, event);
        const auto binding = decision::parse_ticket(tag.ticket);
        const bool owns_request = binding && binding->owner.str() == names().at(index(node));
        if (event.from != decision::hop::pool && (owns_request || tag.ticket.empty()))
            report_step(request_step::admitted, tag, node);
    });
    return id;
}

std::uint64_t simulated_cluster::look_up(int node, const core::caller_id& caller, const attempt_tag& tag,
                                         reply_hook reply_to)
{
    if (!is_up(node))
        return 0;
    const auto id = next_id_++;
    auto& target = state_of(node);
    target.open_exchanges[id] = {tag, std::move(reply_to), false, events.now() + core::milliseconds{1000}, 0};
    in_process({node, target.process_number}, [this, node, caller, id] {
        handle(node, decision::lookup_received{{id}, caller, core::service_id{"orders"}, {}});
    });
    return id;
}

void simulated_cluster::close(int node, std::uint64_t exchange)
{
    if (!is_up(node) || !state_of(node).open_exchanges.contains(exchange))
        return;
    state_of(node).open_exchanges.at(exchange).closed = true;
    in_process({node, state_of(node).process_number}, [this, node, exchange] {
        if (state_of(node).open_exchanges.contains(exchange))
            handle(node, decision::exchange_closed{{exchange}});
    });
}

void simulated_cluster::perform(int node, const decision::action_list& actions)
{
    const auto process_number = state_of(node).process_number;
    for (const auto& action : actions) {
        if (!is_up(node) || state_of(node).process_number != process_number)
            return; // a fault that began at a step killed the process; its remaining actions are lost
        std::visit([this, node](const auto& typed_action) { perform(node, typed_action); }, action);
    }
}

void simulated_cluster::reply(int node, std::uint64_t exchange, const exchange_reply& content)
{
    auto& exchanges = state_of(node).open_exchanges;
    const auto found = exchanges.find(exchange);
    if (found == exchanges.end()) {
        promises.report_violation("whole_own_answer",
                                  names().at(index(node)) + " answers an exchange that has ended");
        return;
    }
    const auto ended = std::move(found->second);
    exchanges.erase(found);
    if (ended.reply && !ended.closed)
        ended.reply(content);
}

void simulated_cluster::perform(int node, const decision::answer_lookup& action)
{
    exchange_reply result;
    result.outcome = exchange_reply::kind::lookup;
    result.lookup = action.answer;
    reply(node, action.exchange.value, result);
}

void simulated_cluster::perform(int node, const decision::answer_refused& action)
{
    exchange_reply result;
    result.outcome = exchange_reply::kind::refused;
    result.refusal = action.reason;
    result.ticket = action.ticket;
    reply(node, action.exchange.value, result);
}

void simulated_cluster::perform(int node, const decision::answer_unknown& action)
{
    exchange_reply result;
    result.outcome = exchange_reply::kind::unknown;
    result.unknown = action.reason;
    reply(node, action.exchange.value, result);
}

void simulated_cluster::perform(int node, const decision::answer_stored& action)
{
    exchange_reply result;
    result.outcome = exchange_reply::kind::answered;
    result.answer = action.answer;
    reply(node, action.exchange.value, result);
}

void simulated_cluster::finish_dispatch(process_key process, std::uint64_t dispatch,
                                        const dispatch_result& result)
{
    in_process(process, [this, process, dispatch, result] {
        auto& node = state_of(process.first);
        const auto found = node.dispatches.find(dispatch);
        if (found == node.dispatches.end())
            return; // the dispatch has already ended; like the network layer, drop results that arrive late
        const auto exchange = found->second.exchange;
        const auto ended = found->second;
        node.dispatches.erase(found);
        if (ended.peer >= 0 && ended.peer_exchange != 0 && result.status == dispatch_status::timed_out)
            close(ended.peer, ended.peer_exchange);
        if (result.status == dispatch_status::answered) {
            exchange_reply answer;
            answer.outcome = exchange_reply::kind::answered;
            answer.answer = result.answer;
            reply(process.first, exchange, answer);
        }
        if (is_up(process.first) && state_of(process.first).process_number == process.second)
            handle(process.first, decision::dispatch_finished{{dispatch}, result});
    });
}

void simulated_cluster::deliver(int from, int to, std::function<void()> action)
{
    events.after(latency(from, to), [this, from, to, action = std::move(action)] {
        if (!is_link_cut(from, to))
            action();
        else
            events.after(resend_interval, [this, from, to, action] { deliver(from, to, action); });
    });
}

void simulated_cluster::perform(int node, const decision::relay_to_instance& action)
{
    auto& from = state_of(node);
    const auto dispatch = action.dispatch.value;
    const auto found = from.open_exchanges.find(action.exchange.value);
    if (found == from.open_exchanges.end()) {
        promises.report_violation("whole_own_answer",
                                  names().at(index(node)) + " relays an exchange that has ended");
        return;
    }
    const auto tag = found->second.tag;
    const process_key process{node, from.process_number};
    const int to = find(action.instance.str());
    from.dispatches[dispatch] = {action.exchange.value, to, 0, nullptr, 0};
    if (action.as == decision::hop::pool)
        report_step(request_step::dispatched, tag, node);
    dispatch_result timeout_result;
    timeout_result.status = dispatch_status::timed_out;
    events.after(action.request.timeout, [this, process, dispatch, timeout_result] {
        finish_dispatch(process, dispatch, timeout_result);
    });
    dispatch_result not_sent;
    not_sent.status = dispatch_status::not_sent;
    if (is_link_cut(node, to)) {
        events.after(connect_timeout,
                     [this, process, dispatch, not_sent] { finish_dispatch(process, dispatch, not_sent); });
        return;
    }
    events.after(latency(node, to),
                 [this, process, to, action, tag] { connect_relay(process, to, action, tag); });
}

void simulated_cluster::connect_relay(process_key process, int to, const decision::relay_to_instance& action,
                                      const attempt_tag& tag)
{
    const auto dispatch = action.dispatch.value;
    const int from = process.first;
    if (!is_up(to)) {
        dispatch_result not_sent;
        not_sent.status = dispatch_status::not_sent;
        finish_dispatch(process, dispatch, not_sent);
        return;
    }
    if (state_of(from).process_number != process.second || !state_of(from).dispatches.contains(dispatch) ||
        is_link_cut(from, to))
        return;
    decision::request_received input;
    input.request = action.request;
    input.from = action.as;
    input.sender = core::instance_id{names().at(index(from))};
    input.pool_data_centre = action.pool_data_centre;
    const auto on_reply = [this, process, to, dispatch](const exchange_reply& reply) {
        dispatch_result result;
        result.refusal = reply.refusal;
        result.unknown = reply.unknown;
        result.answer = reply.answer;
        result.answer_bytes = reply.answer.body.size();
        result.kept = true;
        switch (reply.outcome) {
        case exchange_reply::kind::answered:
            result.status = dispatch_status::answered;
            break;
        case exchange_reply::kind::refused:
            result.status = dispatch_status::refused;
            break;
        case exchange_reply::kind::unknown:
            result.status = dispatch_status::unknown;
            break;
        default:
            result.status = dispatch_status::broken;
        }
        deliver(to, process.first,
                [this, process, dispatch, result] { finish_dispatch(process, dispatch, result); });
    };
    const auto exchange = request(to, input, tag, on_reply);
    if (state_of(from).process_number == process.second && state_of(from).dispatches.contains(dispatch))
        state_of(from).dispatches.at(dispatch).peer_exchange = exchange;
}

void simulated_cluster::perform(int node, const decision::dispatch_to_server& action)
{
    auto& from = state_of(node);
    const auto found = from.open_exchanges.find(action.exchange.value);
    if (found == from.open_exchanges.end()) {
        promises.report_violation("whole_own_answer",
                                  names().at(index(node)) + " runs an exchange that has ended");
        return;
    }
    const auto tag = found->second.tag;
    const process_key process{node, from.process_number};
    const auto dispatch = action.dispatch.value;
    auto* server = servers.at(action.address).get();
    from.dispatches[dispatch] = {action.exchange.value, -1, 0, server, 0};
    events.after(server_latency, [this, process, dispatch, server, tag, timeout = action.timeout] {
        const int from_node = process.first;
        if (state_of(from_node).process_number != process.second ||
            !state_of(from_node).dispatches.contains(dispatch))
            return;
        const auto run =
            server->start(tag, timeout, [this, process, dispatch](const dispatch_result& result) {
                events.after(server_latency, [this, process, dispatch, result] {
                    finish_dispatch(process, dispatch, result);
                });
            });
        if (state_of(from_node).process_number == process.second &&
            state_of(from_node).dispatches.contains(dispatch))
            state_of(from_node).dispatches.at(dispatch).run = run;
    });
    dispatch_result timeout_result;
    timeout_result.status = dispatch_status::timed_out;
    events.after(action.timeout + 4 * server_latency, [this, process, dispatch, timeout_result] {
        finish_dispatch(process, dispatch, timeout_result);
    });
    report_step(request_step::dispatched, tag, node);
}

void simulated_cluster::perform(int node, const decision::cancel_dispatch& action)
{
    auto& from = state_of(node);
    const auto dispatch = action.dispatch.value;
    const auto found = from.dispatches.find(dispatch);
    if (found == from.dispatches.end())
        return;
    const auto cancelled = found->second;
    const process_key process{node, from.process_number};
    if (cancelled.server != nullptr)
        events.after(server_latency, [cancelled] { cancelled.server->cancel(cancelled.run); });
    else if (cancelled.peer >= 0)
        deliver(node, cancelled.peer, [this, cancelled] { close(cancelled.peer, cancelled.peer_exchange); });
    dispatch_result result;
    result.status = dispatch_status::cancelled;
    events.after(core::milliseconds{0},
                 [this, process, dispatch, result] { finish_dispatch(process, dispatch, result); });
}

void simulated_cluster::perform(int node, const decision::send_to_peer& action)
{
    const auto& address = action.address;
    const int to = address.back() - '0'; // addresses end in the node's number
    report_message_step(action.message, node);
    if (on_message)
        on_message(action.message, node, to);
    if (is_link_cut(node, to) || !is_up(node))
        return;
    if (messages_to_drop_ > 0) {
        --messages_to_drop_;
        promises.trace("a message from " + names().at(index(node)) + " to " + names().at(index(to)) +
                       " is lost");
        return;
    }
    const auto arrive = [this, node, to, message = action.message] {
        if (!is_up(to) || is_link_cut(node, to))
            return;
        in_process({to, state_of(to).process_number},
                   [this, to, message] { handle(to, decision::peer_message_received{message}); });
    };
    events.after(latency(node, to), arrive);
    if (duplicates_messages_)
        events.after(latency(node, to) + duplicate_delay, arrive);
}

void simulated_cluster::report_message_step(const wire::peer_message& message, int node)
{
    const auto report = [&](request_step step, const wire::request_key& key) {
        const auto found = tags_by_key_.find(key.caller() + "/" + key.key());
        if (found != tags_by_key_.end())
            report_step(step, found->second, node);
    };
    if (message.has_intent())
        report(request_step::intent_sent, message.intent().request());
    if (message.has_intent_ack())
        report(request_step::intent_recorded, message.intent_ack().request());
}

void simulated_cluster::perform(int node, const decision::probe_server& action)
{
    const process_key process{node, state_of(node).process_number};
    const auto sent_at = events.now();
    const auto found = servers.find(action.address);
    if (!probes_answered_ || found == servers.end())
        return;
    events.after(probe_latency, [this, process, action, sent_at, server = found->second.get()] {
        decision::server_probed probe{action.service, action.server, server->is_up(), sent_at,
                                      server->report()};
        in_process(process, [this, process, probe] { handle(process.first, probe); });
    });
}

void simulated_cluster::perform(int node, const decision::call_platform& action)
{
    const process_key process{node, state_of(node).process_number};
    store.call(action.call, [this, process](const state::platform_reply& result) {
        in_process(process,
                   [this, process, result] { handle(process.first, decision::platform_replied{result}); });
    });
}

void simulated_cluster::perform(int node, const decision::stop_now& /*action*/)
{
    promises.trace(names().at(index(node)) + " has stopped");
    if (!state_of(node).open_exchanges.empty() || !state_of(node).dispatches.empty())
        promises.report_violation("stop_cuts_none", names().at(index(node)) + " exits with open exchanges");
    events.after(core::milliseconds{0}, [this, node] { kill(node); });
}

void simulated_cluster::perform(int node, const decision::write_log& action)
{
    promises.trace(names().at(index(node)) + " logs " + action.event + " " + action.detail);
}

} // namespace knapweed::matrix
