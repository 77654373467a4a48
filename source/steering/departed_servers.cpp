#include "steering/departed_servers.h"

namespace knapweed::steering {

namespace {

/** Copies of the store are some seconds old when it comes back from one. */
constexpr core::milliseconds remembered_for{120000};

} // namespace

void departed_servers::add(const backend_server& server)
{
    const auto& record = server.record();
    departures_[record.id] = {record.started_unix_ms, record.leaving, server.rest().end(), time_.now()};
}

bool departed_servers::contains(const server_record& record) const
{
    const auto found = departures_.find(record.id);
    return found != departures_.end() && record.started_unix_ms <= found->second.started_unix_ms;
}

void departed_servers::restore(backend_server& server) const
{
    const auto found = departures_.find(server.record().id);
    if (found == departures_.end() || found->second.started_unix_ms != server.record().started_unix_ms)
        return;
    if (found->second.leaving)
        server.mark_leaving();
    if (found->second.rest_end)
        server.rest().extend_to(*found->second.rest_end);
}

void departed_servers::tick()
{
    std::erase_if(departures_,
                  [this](const auto& entry) { return time_.now() - entry.second.at >= remembered_for; });
}

} // namespace knapweed::steering
