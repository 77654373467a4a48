#include "steering/peer_table.h"

#include <algorithm>

namespace knapweed::steering {

namespace {

/** The demand of a silent instance is counted for longer than `live_timeout`, since its callers soon send
   their requests to another instance. */
constexpr core::milliseconds demand_valid_for{5000};
/** Time without a message or registry entry after which an instance is removed and gets no more messages. */
constexpr core::milliseconds removal_timeout{60000};

} // namespace

void peer_table::update(const instance_status& status)
{
    if (status.instance == own_ || status.instance.empty())
        return;
    auto& entry = peers_[status.instance];
    const bool older =
        status.incarnation < entry.status.incarnation ||
        (status.incarnation == entry.status.incarnation && status.sequence < entry.status.sequence);
    if (older)
        return;
    entry.status = status;
    entry.received_at = time_.now();
}

void peer_table::add_registered(const instance_status& status)
{
    if (status.instance == own_ || status.instance.empty())
        return;
    auto& entry = peers_[status.instance];
    entry.registered_at = time_.now();
    if (entry.status.incarnation < status.incarnation)
        entry.status = status;
}

bool peer_table::is_live(const peer& candidate, core::duration max_age) const
{
    return candidate.received_at && time_.now() - *candidate.received_at < max_age;
}

void peer_table::visit(const std::function<void(const instance_status&, bool live)>& visitor) const
{
    for (const auto& [instance, known_peer] : peers_)
        visitor(known_peer.status, is_live(known_peer));
}

std::vector<std::string> peer_table::peer_addresses() const
{
    std::vector<std::string> addresses;
    addresses.reserve(peers_.size());
    for (const auto& [instance, known_peer] : peers_)
        addresses.push_back(known_peer.status.peer_address);
    return addresses;
}

std::vector<std::string> peer_table::peer_addresses_in(const core::region_id& region) const
{
    std::vector<std::string> addresses;
    for (const auto& [instance, known_peer] : peers_) {
        if (known_peer.status.location.region == region)
            addresses.push_back(known_peer.status.peer_address);
    }
    return addresses;
}

void peer_table::visit_live(core::duration max_age,
                            const std::function<void(const instance_status&)>& visitor) const
{
    for (const auto& [instance, known_peer] : peers_) {
        if (is_live(known_peer, max_age))
            visitor(known_peer.status);
    }
}

std::size_t peer_table::known_peers_in(const core::region_id& region) const
{
    return static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), [&region](const auto& entry) {
        return entry.second.status.location.region == region;
    }));
}

double peer_table::demand(const core::service_id& service, const core::region_id& region) const
{
    double sum = 0;
    for (const auto& [instance, known_peer] : peers_) {
        if (known_peer.status.location.region != region || !known_peer.received_at ||
            time_.now() - *known_peer.received_at >= demand_valid_for)
            continue;
        if (const auto found = known_peer.status.demand.find(service);
            found != known_peer.status.demand.end())
            sum += found->second;
    }
    return sum;
}

void peer_table::tick()
{
    std::erase_if(peers_, [this](const auto& entry) {
        const auto latest_sign =
            std::max(entry.second.registered_at, entry.second.received_at.value_or(core::time_point{}));
        return time_.now() - latest_sign >= removal_timeout;
    });
}

} // namespace knapweed::steering
