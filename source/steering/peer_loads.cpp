#include "steering/peer_loads.h"

#include <algorithm>

namespace knapweed::steering {

namespace {

/** An instance that was silent for this time has ended, or its path is cut: its requests no longer count. */
constexpr core::milliseconds forgotten_after{1000};
/** Messages that an instance sends in a second. Each costs it and its receiver about 20 us of processor time;
   ten instances stay below at the shortest interval. */
constexpr double messages_per_second = 320;
/** Several times in the run time of a short request, so that two instances seldom take the same free slot. */
constexpr core::milliseconds shortest_interval{30};
constexpr core::milliseconds longest_interval{200};

} // namespace

core::duration load_interval(std::size_t near, std::size_t far)
{
    const double messages =
        static_cast<double>(near) + static_cast<double>(far) / load_rounds_per_far_message;
    const std::chrono::duration<double> interval(messages / messages_per_second);
    return std::clamp<core::duration>(std::chrono::duration_cast<core::duration>(interval), shortest_interval,
                                      longest_interval);
}

void peer_loads::update(const instance_load& load)
{
    auto& known = peers_[load.instance];
    const bool older = load.incarnation < known.incarnation ||
                       (load.incarnation == known.incarnation && load.sequence <= known.sequence);
    if (older)
        return;
    for (const auto& entry : known.servers)
        change(entry.server, -static_cast<int>(entry.running));
    for (const auto& entry : load.servers)
        change(entry.server, static_cast<int>(entry.running));
    for (const auto& entry : known.servers)
        tell(entry.server);
    for (const auto& entry : load.servers)
        tell(entry.server);
    known = {load.incarnation, load.sequence, load.servers, time_.now()};
}

void peer_loads::change(std::uint32_t server, int difference)
{
    auto& running = running_[server];
    running += difference;
    if (running == 0)
        running_.erase(server);
}

void peer_loads::tell(std::uint32_t server)
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
    for (auto at = peers_.begin(); at != peers_.end();) {
        if (now - at->second.heard < forgotten_after) {
            ++at;
            continue;
        }
        for (const auto& entry : at->second.servers)
            change(entry.server, -static_cast<int>(entry.running));
        at = peers_.erase(at);
    }
    if (peers_.empty())
        return; // the servers' own reports serve instead
    servers_.visit([this](backend_server& server) { tell(short_hash(server)); });
}

} // namespace knapweed::steering
