#pragma once

#include "decision/action.h"
#include "decision/event.h"
#include "net/ring.h"
#include "net/telemetry.h"
#include "net/wake_signal.h"

#include <atomic>
#include <deque>
#include <functional>

namespace knapweed::net {

/** The rings between the decision thread and the network and control threads. */
struct decision_rings {
    explicit decision_rings(std::size_t entries)
        : from_network(entries), from_control(entries), to_network(entries), to_control(entries)
    {}

    ring<decision::event> from_network;
    ring<decision::event> from_control;
    ring<decision::action> to_network;
    ring<decision::action> to_control;
    wake_signal decision_thread;
};

/** Functions that the decision thread calls. */
struct decision_hooks {
    std::function<void(const decision::event&, decision::action_list&)> handle;
    std::function<void(decision::action_list&)> tick;
    std::function<void()> wake_network;
    std::function<void()> wake_control;
};

/** The main loop of the decision thread: passes events to the decision object and distributes the resulting
    actions to the other threads.

    While the ring of actions to the network thread is full, no events are read from the ring that the network
    thread writes. That ring then fills, and the network thread refuses new requests.
*/
class decision_loop {
public:
    decision_loop(decision_rings& rings, decision_hooks hooks, telemetry& reports);

    /** Runs until `stop`. */
    void run();
    /** Makes `run` return. May be called from any thread. */
    void stop();

    /** Handles waiting events, a bounded number of them, then calls `tick` if its interval has passed. */
    void run_once();

private:
    void handle(const decision::event& event);
    void distribute_actions();
    void send_to_network(decision::action action);
    void send_to_control(decision::action action);
    void flush_backlog();

    decision_rings& rings_;
    decision_hooks hooks_;
    telemetry& reports_;
    decision::action_list actions_;
    std::deque<decision::action> backlog_; ///< actions for the network thread that did not fit into the ring
    core::time_point next_tick_time_{};
    bool network_pushed_ = false;
    bool control_pushed_ = false;
    std::atomic<bool> stopped_ = false;
};

} // namespace knapweed::net
