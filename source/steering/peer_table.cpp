#include "steering/peer_table.h"

#include <algorithm>

namespace knapweed::steering {

namespace {

/** The demand of a silent instance is counted for longer than `live_timeout`, since its callers soon send
   their requests to another instance. */
constexpr core::milliseconds demand_valid_for{5000};
/** Time without a message or registry entry after which an instance is removed and gets no more messages. The
    registry is read at least once in this time. */
constexpr core::milliseconds removal_timeout{60000};

} // namespace

bool peer_table::update(const instance_status& status)
{
    if (status.instance == own_ || status.instance.empty())
        return false;
    auto& entry = peers_[status.instance];
    // Incarnations come from the time of day, which may be set back between two starts.
    const bool from_earlier_process = status.incarnation < entry.status.incarnation && !is_silent(entry);
    const bool out_of_order =
        status.incarnation == entry.status.incarnation && status.sequence < entry.status.sequence;
    if (from_earlier_process || out_of_order)
        return false;
    entry.status = status;
    entry.received_at = time_.now();
    return std::exchange(entry.received_incarnation, status.incarnation) != status.incarnation;
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

bool peer_table::is_silent(const peer& candidate) const
{
    return time_.now() - candidate.received_at.value_or(candidate.registered_at) >= live_timeout;
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

std::vector<std::string> peer_table::peer_addresses_outside(const core::region_id& region) const
{
    std::vector<std::string> addresses;
    for (const auto& [instance, known_peer] : peers_) {
        if (known_peer.status.location.region != region)
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

void peer_table::visit_present(const std::function<void(const instance_status&)>& visitor) const
{
    for (const auto& [instance, known_peer] : peers_) {
        const auto& status = known_peer.status;
        const bool sends_nothing_here = !is_full_mesh() && status.location.region != own_region_;
        if (is_live(known_peer) || (sends_nothing_here && !status.leaving))
            visitor(status);
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
    const auto demand_for = [&service](const std::map<core::service_id, double>& demand) {
        const auto found = demand.find(service);
        return found == demand.end() ? 0 : found->second;
    };
    double sum = 0;
    const peer* latest_summary = nullptr;
    for (const auto& [instance, known_peer] : peers_) {
        if (known_peer.status.location.region != region || !is_live(known_peer, demand_valid_for))
            continue;
        sum += demand_for(known_peer.status.demand);
        if (known_peer.status.region_sum &&
            (latest_summary == nullptr || *latest_summary->received_at < *known_peer.received_at))
            latest_summary = &known_peer;
    }
    return latest_summary == nullptr || region == own_region_
               ? sum
               : demand_for(latest_summary->status.region_sum->demand);
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
