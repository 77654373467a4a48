#include "steering/peer_loads.h"

#include <algorithm>

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

} // namespace

core::duration load_interval(std::size_t same_region, std::size_t other_regions)
{
    const double messages_per_round =
        static_cast<double>(same_region) + static_cast<double>(other_regions) / load_rounds_per_far_message;
    const std::chrono::duration<double> interval(messages_per_round / max_messages_per_second);
    return std::clamp<core::duration>(std::chrono::duration_cast<core::duration>(interval), min_interval,
                                      max_interval);
}

void peer_loads::update(const instance_load& load)
{
    auto& latest = peers_[load.instance];
    const bool older = load.incarnation < latest.incarnation ||
                       (load.incarnation == latest.incarnation && load.sequence <= latest.sequence);
    if (older)
        return;
    for (const auto& entry : latest.servers)
        add_running(entry.server, -static_cast<int>(entry.running));
    for (const auto& entry : load.servers)
        add_running(entry.server, static_cast<int>(entry.running));
    for (const auto& entry : latest.servers)
        update_estimate(entry.server);
    for (const auto& entry : load.servers)
        update_estimate(entry.server);
    latest = {load.incarnation, load.sequence, load.servers, time_.now()};
}

void peer_loads::add_running(std::uint32_t server, int difference)
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
    found->occupancy().set_peer_requests(running == running_.end() ? 0
                                                                   : static_cast<unsigned>(running->second));
}

void peer_loads::tick()
{
    const auto now = time_.now();
    for (auto known_peer = peers_.begin(); known_peer != peers_.end();) {
        if (now - known_peer->second.received_at < removal_timeout) {
            ++known_peer;
            continue;
        }
        for (const auto& entry : known_peer->second.servers)
            add_running(entry.server, -static_cast<int>(entry.running));
        known_peer = peers_.erase(known_peer);
    }
    if (peers_.empty())
        return; // the estimates then use the servers' load reports
    servers_.visit([this](backend_server& server) { update_estimate(short_hash(server)); });
}

} // namespace knapweed::steering
