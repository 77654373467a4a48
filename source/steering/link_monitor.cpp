#include "steering/link_monitor.h"

namespace knapweed::steering {

link_monitor::link_monitor(const server_catalogue& servers, const core::clock& time)
    : servers_(servers), time_(time)
{}

void link_monitor::record_connection(const backend_server& server, bool connected)
{
    (void)server;
    (void)connected;
}

void link_monitor::record_answer(const backend_server& server)
{
    (void)server;
}

void link_monitor::record_probe(const core::server_id& server, bool connected)
{
    (void)server;
    (void)connected;
}

std::vector<server_pointer> link_monitor::next_probes()
{
    return {};
}

} // namespace knapweed::steering
