#include "net/event_port.h"

namespace knapweed::net {

event_port::event_port(ring<decision::event>& events, wake_signal& consumer, telemetry& reports)
    : events_(events), consumer_(consumer), reports_(reports)
{}

bool event_port::try_send(decision::event event)
{
    flush();
    if (!overflow_.empty() || !events_.try_push(event)) {
        reports_.add(counter::ring_refusals);
        return false;
    }
    consumer_.notify();
    return true;
}

void event_port::send(decision::event event)
{
    flush();
    if (!overflow_.empty() || !events_.try_push(event))
        overflow_.push_back(std::move(event));
    consumer_.notify();
}

void event_port::flush()
{
    while (!overflow_.empty() && events_.try_push(overflow_.front()))
        overflow_.pop_front();
}

} // namespace knapweed::net
