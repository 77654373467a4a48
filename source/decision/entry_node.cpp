#include "decision/entry_node.h"

namespace knapweed::decision {

namespace {

/** All instances but the frequent readers poll the instance list at an interval that is longer by this
    factor. With 1,600 instances, the platform then serves about 320 reads of the list per second. */
constexpr int rare_list_interval_factor = 10;

/** Number of instances in each data centre that poll the instance list at every interval. */
constexpr std::size_t frequent_list_readers = 2;

state::platform_client_options platform_options_of(const node_options& node)
{
    state::platform_client_options options;
    options.timeout = node.platform_timeout;
    options.calls_in_flight = node.platform_calls_in_flight;
    return options;
}

state::configuration_store_options store_options_of(const node_options& node)
{
    state::configuration_store_options options;
    options.poll_interval = node.platform_poll_interval;
    return options;
}

} // namespace

entry_node::entry_node(node_options options, const core::clock& time, std::uint64_t seed)
    : options_(std::move(options)), time_(time), shared_(options_, time, seed), guard_(time),
      platform_(platform_options_of(options_), time, seed + 1),
      store_(store_options_of(options_), shared_.members, platform_, time, seed + 2),
      directory_(shared_.members, time, seed + 3), routes_(shared_),
      flow_(shared_, routes_, guard_, platform_),
      pools_(shared_, guard_,
             {[this](core::exchange_id exchange) { flow_.run_starting(exchange); },
              [this](core::exchange_id exchange, const run_outcome& outcome) {
                  flow_.run_ended(exchange, outcome);
              }})
{
    flow_.set_pools(pools_);
}

void entry_node::handle(const event& input, action_list& actions)
{
    shared_.collect_into(&actions);
    detect_pause();
    std::visit([this](const auto& received) { on(received); }, input);
    apply_configuration();
    shared_.collect_into(nullptr);
}

void entry_node::tick(action_list& actions)
{
    shared_.collect_into(&actions);
    detect_pause();
    guard_.tick();
    directory_.tick();
    routes_.tick();
    flow_.tick();
    pools_.tick();
    poll_instance_list();
    call_platform();
    apply_configuration();
    if (time_.now() >= next_heartbeat_)
        send_heartbeats();
    finish_stop();
    shared_.collect_into(nullptr);
}

void entry_node::detect_pause()
{
    // A pause of this process must be detected before any decision: until heartbeats of the peers arrive
    // again, another instance may own the pools of this one.
    if (shared_.members.tick()) {
        shared_.emit(write_log{"pause_detected", "all peers count as silent until their next heartbeat"});
        pools_.tick();
    }
}

void entry_node::on(const lookup_received& input)
{
    if (!routes_.has_service(input.service)) {
        shared_.emit(count_refusal{core::refusal_reason::unknown_service, core::rank::standard});
        shared_.emit(answer_refused{input.exchange, core::refusal_reason::unknown_service, {}, {}});
        return;
    }
    const auto view = directory_.lookup_endpoints(input.service, options_.region);
    lookup_answer answer;
    for (const auto& found : view.endpoints)
        answer.endpoints.push_back({found.instance, found.address});
    answer.ticket = flow_.fresh_ticket(answer.endpoints);
    answer.ttl = options_.lookup_ttl;
    answer.degraded = view.degraded;
    shared_.emit(answer_lookup{input.exchange, std::move(answer)});
}

void entry_node::on(const request_received& input)
{
    if (input.from == hop::pool)
        pool_request_received(input);
    else
        flow_.request_received(input);
}

void entry_node::pool_request_received(const request_received& input)
{
    const auto& meta = input.request;
    pool_request request;
    request.exchange = input.exchange;
    request.from = input.sender;
    request.rank = meta.rank;
    request.deadline = time_.now() + meta.timeout;
    request.idempotent = meta.idempotent;
    request.fingerprint = core::fingerprint_of(meta.service, meta.operation, meta.body_hash);
    const auto refusal = request.from == options_.instance
                             ? core::refusal_reason::malformed_request
                             : pools_.offer({meta.service, input.pool_data_centre}, request);
    if (!refusal)
        return;
    shared_.emit(count_refusal{*refusal, meta.rank});
    shared_.emit(answer_refused{input.exchange, *refusal, {}, {}});
}

void entry_node::on(const exchange_closed& input)
{
    flow_.exchange_closed(input.exchange);
    pools_.peer_closed(input.exchange);
}

void entry_node::on(const dispatch_finished& input)
{
    if (!flow_.dispatch_finished(input.dispatch, input.result))
        pools_.dispatch_finished(input.dispatch, input.result);
}

void entry_node::on(const peer_message_received& input)
{
    const auto& message = input.message;
    if (flow_.message_received(message))
        return;
    switch (message.body_case()) {
    case wire::peer_message::kHeartbeat:
        heartbeat_received(message);
        return;
    case wire::peer_message::kHandOverPool:
        pools_.hand_over_received(message.hand_over_pool());
        next_heartbeat_ = time_.now(); // until it arrives, peers use credit of the former owner
        return;
    case wire::peer_message::kQuarantineNotice:
        if (guard_.receive(message.quarantine_notice()))
            pools_.withdraw_fingerprint({message.quarantine_notice().fingerprint()});
        return;
    default:
        configuration_message_received(message);
    }
}

void entry_node::heartbeat_received(const wire::peer_message& message)
{
    const core::instance_id sender{message.from().instance()};
    const auto* known = shared_.members.find(sender);
    const bool is_new = known == nullptr || known->incarnation.value != message.from().incarnation();
    if (!shared_.members.heartbeat_received(message.from(), message.heartbeat()))
        return;
    routes_.heartbeat_received(sender, message.heartbeat());
    store_.note_peer_version(sender, message.heartbeat().configuration_version());
    if (!is_new)
        return;
    // While the platform is down, a new incarnation can't read the instance list, so a heartbeat is sent back
    // at once to introduce this instance.
    shared_.send(sender, heartbeat_for(sender));
    for (const auto& notice : guard_.notices()) {
        wire::peer_message quarantine;
        *quarantine.mutable_quarantine_notice() = notice;
        shared_.send(sender, std::move(quarantine));
    }
}

void entry_node::configuration_message_received(const wire::peer_message& message)
{
    if (message.has_push_configuration()) {
        store_.push_received(message.push_configuration());
        return;
    }
    if (!message.has_pull_configuration())
        return;
    if (auto reply = store_.pull_received(message.pull_configuration())) {
        wire::peer_message answer;
        *answer.mutable_push_configuration() = std::move(*reply);
        shared_.send(core::instance_id{message.from().instance()}, std::move(answer));
    }
}

void entry_node::on(const server_probed& input)
{
    pools_.probed(input);
}

void entry_node::on(const platform_replied& input)
{
    platform_.replied(input.reply);
}

void entry_node::on(const operator_command_received& input)
{
    if (operator_hook_) {
        operator_hook_(input);
        return;
    }
    shared_.emit(answer_operator{input.exchange, false, R"({"error":"this instance accepts no commands"})"});
}

void entry_node::on(const stop_requested& /*input*/)
{
    begin_stop();
}

void entry_node::begin_stop()
{
    if (leaving_since_)
        return;
    leaving_since_ = time_.now();
    shared_.members.stop();
    send_heartbeats();
    pools_.leave();
    flow_.send_answers_to_witnesses();
    shared_.emit(leaving_begun{});
    shared_.emit(write_log{"stop_requested", "removed from look-ups; finishing requests in progress"});
}

void entry_node::finish_stop()
{
    if (!leaving_since_ || stopped_)
        return;
    // Callers may send requests until their look-up answer expires. One more heartbeat interval lets the
    // peers remove this instance from the answers that they give.
    const auto quiet_after = options_.lookup_ttl + options_.heartbeat_interval;
    if (time_.now() < *leaving_since_ + quiet_after)
        return;
    if (flow_.in_progress() > 0 || pools_.requests() > 0)
        return;
    stopped_ = true;
    flow_.send_answers_to_witnesses();
    shared_.emit(write_log{"stopped", "no request is in progress"});
    shared_.emit(stop_now{});
}

void entry_node::apply_configuration()
{
    if (store_.version() == applied_version_)
        return;
    applied_version_ = store_.version();
    const auto& current = store_.current();
    shared_.placement.configure(current);
    directory_.configure(current);
    routes_.configure(current);
    pools_.configure(current);
    shared_.emit(write_log{"configuration_in_force", "version " + std::to_string(applied_version_)});
}

void entry_node::send_heartbeats()
{
    next_heartbeat_ = time_.now() + options_.heartbeat_interval;
    pools_.refresh_windows();
    for (const auto* peer : shared_.members.heartbeat_targets())
        shared_.send(peer->instance, heartbeat_for(peer->instance));
    if (shared_.members.all().size() > 1)
        return;
    for (const auto& address : options_.seed_addresses) {
        auto message = heartbeat_for({});
        *message.mutable_from() = shared_.self();
        shared_.emit(send_to_peer{{}, address, std::move(message)});
    }
}

wire::peer_message entry_node::heartbeat_for(const core::instance_id& peer) const
{
    wire::peer_message message;
    auto& heartbeat = *message.mutable_heartbeat();
    heartbeat.set_state(leaving() ? wire::leaving : wire::alive);
    heartbeat.set_data_centre(options_.data_centre.str());
    heartbeat.set_region(options_.region.str());
    heartbeat.set_address(options_.address);
    heartbeat.set_configuration_version(store_.version());
    heartbeat.set_requests_in_progress(static_cast<std::uint32_t>(flow_.in_progress()));
    routes_.add_weights(heartbeat);
    pools_.add_reports(peer, heartbeat);
    return message;
}

void entry_node::poll_instance_list()
{
    if (time_.now() < next_list_)
        return;
    const bool polls_often = shared_.members.all().size() <= shared_.members.options().full_mesh ||
                             shared_.members.is_selected_for("instance_list", frequent_list_readers);
    next_list_ =
        time_.now() + options_.platform_poll_interval * (polls_often ? 1 : rare_list_interval_factor);
    // When the platform client refuses the call, the next interval polls again.
    static_cast<void>(platform_.submit(
        state::instance_list_read{},
        [this](const state::platform_reply& reply) {
            if (reply.status == state::platform_status::ok)
                shared_.members.list_received(reply.instances);
        },
        state::call_priority::poll));
}

void entry_node::call_platform()
{
    std::vector<state::addressed_message> messages;
    store_.tick(messages);
    for (auto& message : messages)
        shared_.send(message.instance, std::move(message.message));
    std::vector<state::platform_call> calls;
    platform_.tick(calls);
    for (auto& call : calls)
        shared_.emit(decision::call_platform{std::move(call)});
}

} // namespace knapweed::decision
