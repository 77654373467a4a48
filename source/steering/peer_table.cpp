#include "steering/peer_table.h"

#include <algorithm>

namespace knapweed::steering {

namespace {

/** Demand of a silent instance counts for longer: its callers soon ask another one. */
constexpr core::milliseconds demand_valid_for{5000};
/** An instance that was silent for this time gets no more messages. */
constexpr core::milliseconds forgotten_after{60000};

} // namespace

void peer_table::update(const instance_status& status)
{
    if (status.instance == own_ || status.instance.empty())
        return;
    auto& known = peers_[status.instance];
    const bool older =
        status.incarnation < known.status.incarnation ||
        (status.incarnation == known.status.incarnation && status.sequence < known.status.sequence);
    if (older)
        return;
    known.status = status;
    known.heard_at = time_.now();
}

void peer_table::add_registered(const instance_status& status)
{
    if (status.instance == own_ || status.instance.empty())
        return;
    auto& known = peers_[status.instance];
    known.registered_at = time_.now();
    if (known.status.incarnation < status.incarnation)
        known.status = status;
}

bool peer_table::is_live(const peer& each, core::duration heard_within) const
{
    return each.heard_at && time_.now() - *each.heard_at < heard_within;
}

void peer_table::visit(const std::function<void(const instance_status&, bool live)>& visitor) const
{
    for (const auto& [instance, each] : peers_)
        visitor(each.status, is_live(each));
}

std::vector<std::string> peer_table::peer_addresses() const
{
    std::vector<std::string> addresses;
    addresses.reserve(peers_.size());
    for (const auto& [instance, each] : peers_)
        addresses.push_back(each.status.peer_address);
    return addresses;
}

std::vector<std::string> peer_table::peer_addresses_in(const core::region_id& region) const
{
    std::vector<std::string> addresses;
    for (const auto& [instance, each] : peers_) {
        if (each.status.location.region == region)
            addresses.push_back(each.status.peer_address);
    }
    return addresses;
}

void peer_table::visit_live(core::duration heard_within,
                            const std::function<void(const instance_status&)>& visitor) const
{
    for (const auto& [instance, each] : peers_) {
        if (is_live(each, heard_within))
            visitor(each.status);
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
    for (const auto& [instance, each] : peers_) {
        if (each.status.location.region != region || !each.heard_at ||
            time_.now() - *each.heard_at >= demand_valid_for)
            continue;
        if (const auto found = each.status.demand.find(service); found != each.status.demand.end())
            sum += found->second;
    }
    return sum;
}

void peer_table::tick()
{
    std::erase_if(peers_, [this](const auto& entry) {
        const auto last =
            std::max(entry.second.registered_at, entry.second.heard_at.value_or(core::time_point{}));
        return time_.now() - last >= forgotten_after;
    });
}

} // namespace knapweed::steering
