#include "decision/node_context.h"

#include <algorithm>

namespace knapweed::decision {

namespace {

/** Number of requests whose decisions are kept for operators. Each needs about 1 KB. */
constexpr std::size_t traced_requests = 4096;

state::membership_options membership_options_of(const node_options& node)
{
    state::membership_options options;
    options.instance = node.instance;
    options.incarnation = node.incarnation;
    options.data_centre = node.data_centre;
    options.region = node.region;
    options.address = node.address;
    options.heartbeat_interval = node.heartbeat_interval;
    options.suspect_after = node.suspect_after;
    options.fail_after = node.fail_after;
    return options;
}

} // namespace

node_context::node_context(const node_options& node, const core::clock& clock, std::uint64_t seed)
    : options(node), time(clock), random(seed), members(membership_options_of(node), clock),
      placement(members), trace(clock, traced_requests)
{}

void node_context::send(const core::instance_id& to, wire::peer_message message)
{
    const auto* peer = members.find(to);
    if (peer == nullptr)
        return;
    *message.mutable_from() = self();
    emit(send_to_peer{to, peer->address, std::move(message)});
}

void node_context::broadcast(const wire::peer_message& message)
{
    for (const auto* peer : members.by_nearness()) {
        if (peer->state != state::member_state::failed)
            send(peer->instance, message);
    }
}

wire::instance_ref node_context::self() const
{
    wire::instance_ref ref;
    ref.set_instance(options.instance.str());
    ref.set_incarnation(options.incarnation.value);
    return ref;
}

core::milliseconds time_left(const core::clock& time, core::time_point deadline)
{
    const auto left = std::chrono::duration_cast<core::milliseconds>(deadline - time.now());
    return std::max(left, core::milliseconds{0});
}

} // namespace knapweed::decision
