#include "steering/peer_loads.h"

#include <algorithm>
#include <limits>
#include <map>

namespace knapweed::steering {

namespace {

/** Time without a message after which an instance's requests no longer count: it has ended, or its messages
   are lost. */
constexpr core::milliseconds removal_timeout{1000};
/** Maximum number of messages that an instance sends per second. Each costs the sender and the receiver about
   20 us of processor time. Ten instances stay below this limit at the shortest interval. */
constexpr double max_messages_per_second = 320;
/** A fraction of the run time of a short request, so that two instances seldom choose the same free slot. */
constexpr core::milliseconds min_interval{30};
constexpr core::milliseconds max_interval{200};
/** Maximum number of servers in a sum, so that it fits into a datagram; the busiest ones are kept. */
constexpr std::ptrdiff_t max_summed_servers = 1500;

} // namespace

core::duration load_interval(std::size_t same_region, std::size_t other_regions)
{
    const double messages_per_round =
        static_cast<double>(same_region) + static_cast<double>(other_regions) / load_rounds_per_far_message;
    const std::chrono::duration<double> interval(messages_per_round / max_messages_per_second);
    return std::clamp<core::duration>(std::chrono::duration_cast<core::duration>(interval), min_interval,
                                      max_interval);
}

std::vector<instance_load::entry> subtract(const std::vector<instance_load::entry>& sums,
                                           const std::vector<instance_load::entry>& own)
{
    std::vector<instance_load::entry> result;
    auto known = own.begin();
    for (auto entry : sums) {
        while (known != own.end() && known->server < entry.server)
            ++known;
        if (known != own.end() && known->server == entry.server)
            entry.running -= std::min(entry.running, known->running);
        if (entry.running > 0)
            result.push_back(entry);
    }
    return result;
}

std::vector<instance_load::entry> peer_loads::region_sum(const std::vector<instance_load::entry>& own) const
{
    std::map<std::uint32_t, unsigned> sums;
    for (const auto& entry : own)
        sums[entry.server] += entry.running;
    for (const auto& [instance, known_peer] : peers_) {
        if (!known_peer.region.empty())
            continue;
        for (const auto& entry : known_peer.servers)
            sums[entry.server] += entry.running;
    }
    std::vector<instance_load::entry> result;
    result.reserve(sums.size());
    for (const auto& [server, running] : sums)
        result.push_back({server, running});
    if (std::ssize(result) <= max_summed_servers)
        return result;
    const auto end = result.begin() + max_summed_servers;
    std::nth_element(result.begin(), end, result.end(),
                     [](const auto& left, const auto& right) { return left.running > right.running; });
    result.erase(end, result.end());
    std::sort(result.begin(), result.end());
    return result;
}

/** Removes the sums that other instances sent for the region of @p load: its hub has changed. */
void peer_loads::remove_other_sums(const instance_load& load)
{
    for (auto known_peer = peers_.begin(); known_peer != peers_.end();) {
        if (known_peer->first == load.instance || known_peer->second.region != load.region) {
            ++known_peer;
            continue;
        }
        remove_entries(known_peer->second);
        known_peer = peers_.erase(known_peer);
    }
}

void peer_loads::remove_entries(const peer& known_peer)
{
    for (const auto& entry : known_peer.servers)
        add_running(entry.server, -std::int64_t{entry.running});
}

void peer_loads::update(const instance_load& load)
{
    if (!load.region.empty())
        remove_other_sums(load);
    auto& latest = peers_[load.instance];
    const bool older = load.incarnation < latest.incarnation ||
                       (load.incarnation == latest.incarnation && load.sequence <= latest.sequence);
    if (older)
        return;
    for (const auto& entry : latest.servers)
        add_running(entry.server, -std::int64_t{entry.running});
    for (const auto& entry : load.servers)
        add_running(entry.server, std::int64_t{entry.running});
    for (const auto& entry : latest.servers)
        update_estimate(entry.server);
    for (const auto& entry : load.servers)
        update_estimate(entry.server);
    latest = {load.incarnation, load.sequence, load.servers, load.region, time_.now()};
}

void peer_loads::add_running(std::uint32_t server, std::int64_t difference)
{
    auto& running = running_[server];
    running += difference;
    if (running == 0)
        running_.erase(server);
}

void peer_loads::update_estimate(std::uint32_t server)
{
    const auto found = servers_.find_by_hash(server);
    if (!found)
        return;
    const auto running = running_.find(server);
    constexpr std::int64_t most = std::numeric_limits<unsigned>::max();
    found->occupancy().set_peer_requests(
        running == running_.end() ? 0 : static_cast<unsigned>(std::min(running->second, most)));
}

void peer_loads::tick()
{
    const auto now = time_.now();
    for (auto known_peer = peers_.begin(); known_peer != peers_.end();) {
        if (now - known_peer->second.received_at < removal_timeout) {
            ++known_peer;
            continue;
        }
        remove_entries(known_peer->second);
        known_peer = peers_.erase(known_peer);
    }
    if (peers_.empty())
        return; // the estimates then use the servers' load reports
    servers_.visit([this](backend_server& server) { update_estimate(short_hash(server)); });
}

} // namespace knapweed::steering
