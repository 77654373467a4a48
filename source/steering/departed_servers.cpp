#include "steering/departed_servers.h"

namespace knapweed::steering {

namespace {

/** Copies of the store are some seconds old when it comes back from one. */
constexpr core::milliseconds remembered_for{120000};

} // namespace

void departed_servers::add(const server_record& record)
{
    departures_[record.id] = {record.started_unix_ms, record.leaving, time_.now()};
}

bool departed_servers::contains(const server_record& record) const
{
    const auto found = departures_.find(record.id);
    return found != departures_.end() && record.started_unix_ms <= found->second.started_unix_ms;
}

bool departed_servers::was_leaving(const server_record& record) const
{
    const auto found = departures_.find(record.id);
    return found != departures_.end() && found->second.leaving &&
           record.started_unix_ms == found->second.started_unix_ms;
}

void departed_servers::tick()
{
    std::erase_if(departures_,
                  [this](const auto& entry) { return time_.now() - entry.second.at >= remembered_for; });
}

} // namespace knapweed::steering
