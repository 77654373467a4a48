#pragma once

#include "fleet/fleet_shape.h"

namespace knapweed::bench {

/** One entry node that owns the pools of the first data centre and receives heartbeats from a peer, which is
   its witness. The other nodes of the shape are only in its list of instances. */
class steered_node {
public:
    explicit steered_node(const fleet_shape& shape);

    /** Advances the time in steps of 100 ms; the witness sends heartbeats and all probes succeed. */
    void run(core::milliseconds time);

    /** Passes an event to the node.
        @returns the resulting actions; valid until the next call. */
    const decision::action_list& handle(const decision::event& input);

    /** @returns the ticket of a new look-up. */
    [[nodiscard]] std::string look_up_ticket();

    /** Sends a request and answers the intent, the dispatch and the outcome.
        @returns whether it was dispatched to a backend server. */
    bool request(const std::string& ticket, bool idempotent);

    /** @returns a heartbeat of node @p number as a peer sends it. */
    [[nodiscard]] decision::peer_message_received heartbeat_of(std::size_t number) const;

    [[nodiscard]] decision::entry_node& node() { return node_; }
    [[nodiscard]] core::simulated_clock& time() { return time_; }

private:
    void tick();

    fleet_shape shape_;
    core::simulated_clock time_;
    decision::entry_node node_;
    decision::entry_node witness_;
    decision::action_list actions_;
    std::uint64_t next_exchange_ = 1;
};

} // namespace knapweed::bench
