#pragma once

#include "core/core.h"
#include "decision/action.h"
#include "decision/decision_trace.h"
#include "decision/node_options.h"
#include "state/membership.h"
#include "state/placement.h"

#include <utility>

namespace knapweed::decision {

/** State and services that the parts of one entry node share. Owned by `entry_node`, which outlives its
    parts. */
class node_context {
public:
    node_context(const node_options& node, const core::clock& clock, std::uint64_t seed);

    const node_options& options;
    const core::clock& time;
    core::random_source random;
    state::membership members;
    state::placement placement;
    decision_trace trace;

    /** Sets the list to which `emit` appends until the next call. With nullptr, `emit` must not be called. */
    void collect_into(action_list* actions) { actions_ = actions; }

    /** Appends an action to the list of the event that is being handled. */
    template <typename Action>
    void emit(Action&& next)
    {
        // Not written with `core::ensure`, because clang-tidy doesn't follow that call here, so deep in the
        // call chain.
        if (actions_ == nullptr)
            core::abort_on_broken_invariant("actions are emitted only while an event is handled");
        actions_->emplace_back(std::forward<Action>(next));
    }

    /** Sends a message to a peer whose address is known; otherwise the message is dropped. */
    void send(const core::instance_id& to, wire::peer_message message);

    /** Sends a message to every peer that has not failed. */
    void broadcast(const wire::peer_message& message);

    /** @returns a new identifier, unique within this incarnation. */
    [[nodiscard]] core::dispatch_id next_dispatch() { return {next_number_++}; }

    /** @returns the name and incarnation of this node, for use in messages. */
    [[nodiscard]] wire::instance_ref self() const;

private:
    action_list* actions_ = nullptr;
    std::uint64_t next_number_ = 1;
};

/** @returns the time left until the deadline, at least 0. */
[[nodiscard]] core::milliseconds time_left(const core::clock& time, core::time_point deadline);

} // namespace knapweed::decision
