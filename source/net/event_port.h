#pragma once

#include "decision/event.h"
#include "net/ring.h"
#include "net/telemetry.h"
#include "net/wake_signal.h"

#include <deque>

namespace knapweed::net {

/** Sends the events of one thread to the decision thread through a ring. */
class event_port {
public:
    /** @param consumer notified after events were added. All parameters must outlive this object. */
    event_port(ring<decision::event>& events, wake_signal& consumer, telemetry& reports);

    /** Sends an event that may be dropped. @returns false if the ring is full; the refusal is counted. */
    [[nodiscard]] bool try_send(decision::event event);

    /** Sends an event that must arrive, such as the end of a dispatch; stores it while the ring is full.

        The number of stored events is bounded by the open exchanges, dispatches and calls.
    */
    void send(decision::event event);

    /** Moves stored events to the ring. Call it regularly. */
    void flush();

private:
    ring<decision::event>& events_;
    wake_signal& consumer_;
    telemetry& reports_;
    std::deque<decision::event> overflow_;
};

} // namespace knapweed::net
