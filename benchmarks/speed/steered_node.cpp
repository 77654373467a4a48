#include "speed/steered_node.h"

#include <algorithm>
#include <utility>

namespace knapweed::bench {

namespace {

constexpr std::size_t witness_number = 1;

/** Places the node in the first data centre, where no other node is, so that it owns all pools there. */
decision::node_options as_only_owner(decision::node_options options)
{
    options.data_centre = core::data_centre_id{data_centre_name(0)};
    return options;
}

std::vector<state::listed_instance> list_without_other_owners(const fleet_shape& shape)
{
    auto list = instance_list(shape);
    const auto first_data_centre = core::data_centre_id{data_centre_name(0)};
    for (std::size_t i = 1; i < list.size(); ++i) {
        if (list[i].data_centre == first_data_centre)
            list[i].data_centre = core::data_centre_id{data_centre_name(1)};
    }
    return list;
}

} // namespace

steered_node::steered_node(const fleet_shape& shape)
    : shape_(shape), node_(as_only_owner(node_options_of(shape, 0)), time_, 1),
      witness_(node_options_of(shape, witness_number), time_, 2)
{
    auto configuration = make_configuration(shape, 1);
    for (int i = 1; i < configuration.data_centres_size(); ++i)
        configuration.mutable_data_centres(i)->set_drained(true); // keeps all requests in the local pools
    node_.configuration().offer(configuration, state::configuration_source::peer);
    witness_.configuration().offer(configuration, state::configuration_source::peer);
    const auto list = list_without_other_owners(shape);
    node_.shared().members.list_received(list);
    witness_.shared().members.list_received(list);
    // After the takeover of the pools, before the listed peers are classified as failed.
    run(core::milliseconds{2900});
}

void steered_node::run(core::milliseconds time)
{
    constexpr core::milliseconds step{100};
    for (core::milliseconds elapsed{0}; elapsed < time; elapsed += step) {
        time_.advance(step);
        auto heartbeat = heartbeat_of(witness_number);
        // The node must not adopt the weights that the witness has for other pools.
        heartbeat.message.mutable_heartbeat()->clear_weights();
        handle(heartbeat);
        tick();
    }
}

void steered_node::tick()
{
    decision::action_list actions;
    node_.tick(actions);
    decision::action_list witness_actions;
    witness_.tick(witness_actions);
    for (const auto& action : actions) {
        if (const auto* probe = std::get_if<decision::probe_server>(&action))
            handle(
                decision::server_probed{probe->service, probe->server, true, time_.now(), {true, false, 0}});
    }
}

const decision::action_list& steered_node::handle(const decision::event& input)
{
    actions_.clear();
    node_.handle(input, actions_);
    return actions_;
}

std::string steered_node::look_up_ticket()
{
    decision::lookup_received input;
    input.exchange = {next_exchange_++};
    input.service = core::service_id{"service0"};
    for (const auto& action : handle(input)) {
        if (const auto* answer = std::get_if<decision::answer_lookup>(&action))
            return answer->answer.ticket;
    }
    return {};
}

bool steered_node::request(const std::string& ticket, bool idempotent)
{
    decision::request_received input;
    input.exchange = {next_exchange_++};
    input.request.caller = core::caller_id{"surveyor"};
    input.request.service = core::service_id{"service0"};
    input.request.operation = "POST /orders";
    input.request.timeout = core::milliseconds{10000};
    input.request.idempotent = idempotent;
    if (!idempotent) {
        input.request.ticket = ticket;
        input.request.key = "key" + std::to_string(next_exchange_);
    }
    input.request.body_hash = next_exchange_;
    decision::action_list pending_actions;
    node_.handle(input, pending_actions);
    bool dispatched = false;
    while (!pending_actions.empty()) {
        for (const auto& action : std::exchange(pending_actions, {})) {
            if (const auto* sent = std::get_if<decision::send_to_peer>(&action)) {
                decision::action_list replies;
                witness_.handle(decision::peer_message_received{sent->message}, replies);
                for (const auto& reply : replies) {
                    if (const auto* answer = std::get_if<decision::send_to_peer>(&reply))
                        node_.handle(decision::peer_message_received{answer->message}, pending_actions);
                }
            }
            else if (const auto* run = std::get_if<decision::dispatch_to_server>(&action)) {
                dispatched = true;
                decision::dispatch_finished finished;
                finished.dispatch = run->dispatch;
                finished.result.status = decision::dispatch_status::answered;
                finished.result.kept = true;
                finished.result.answer = {200, "text/plain", "done"};
                node_.handle(finished, pending_actions);
            }
        }
    }
    return dispatched;
}

decision::peer_message_received steered_node::heartbeat_of(std::size_t number) const
{
    const auto options = node_options_of(shape_, number);
    decision::peer_message_received received;
    received.message.mutable_from()->set_instance(options.instance.str());
    received.message.mutable_from()->set_incarnation(options.incarnation.value);
    auto& heartbeat = *received.message.mutable_heartbeat();
    heartbeat.set_data_centre(data_centre_name(std::max<std::size_t>(1, number % shape_.data_centres)));
    heartbeat.set_region(options.region.str());
    heartbeat.set_address(options.address);
    heartbeat.set_configuration_version(1);
    heartbeat.set_requests_in_progress(1000);
    for (std::size_t i = 0; i < shape_.services; ++i) {
        auto& weights = *heartbeat.add_weights();
        weights.set_service("service" + std::to_string(i));
        for (std::size_t j = 0; j < shape_.data_centres; ++j)
            (*weights.mutable_weight())[data_centre_name(j)] = 1.0 / static_cast<double>(shape_.data_centres);
    }
    return received;
}

} // namespace knapweed::bench
