#include "steering/cold_sender_selector.h"

#include <algorithm>

namespace knapweed::steering {

namespace {

/** Servers stay cold for seconds; instances come and go more seldom. */
constexpr core::milliseconds judgement_valid_for{500};
constexpr std::size_t most_judgements = 4096;
/** Part of the bound that is used: instances may differ for a moment on who is alive. */
constexpr double used_share = 0.8;

/** Orders instances for one server: those of its region first. */
std::pair<bool, std::uint64_t> order_of(const core::instance_id& instance, const core::region_id& region,
                                        const backend_server& server)
{
    return {region != server.region(), core::hash_text(instance.str(), server.id_hash())};
}

} // namespace

cold_sender_selector::cold_sender_selector(core::instance_id own, core::region_id region,
                                           const peer_table& peers, const core::clock& time)
    : own_(std::move(own)), region_(std::move(region)), peers_(peers), time_(time)
{}

bool cold_sender_selector::judge(const backend_server& server, std::size_t most) const
{
    const auto own = order_of(own_, region_, server);
    std::size_t ahead = 0;
    peers_.visit_live(peer_table::live_timeout, [&](const instance_status& status) {
        if (order_of(status.instance, status.location.region, server) < own)
            ++ahead;
    });
    return ahead < most;
}

bool cold_sender_selector::may_send_to_cold(const backend_server& server, std::size_t most)
{
    if (peers_.known_peers() < most)
        return true;
    if (judged_.size() >= most_judgements)
        judged_.clear();
    auto& known = judged_[server.id_hash()];
    if (time_.now() >= known.valid_until)
        known = {judge(server, most), time_.now() + judgement_valid_for};
    return known.may;
}

std::size_t max_cold_senders(double requests_per_second, double multiplier, double slack)
{
    const double bound = requests_per_second * multiplier + slack;
    return std::max<std::size_t>(static_cast<std::size_t>(bound * used_share), 1);
}

} // namespace knapweed::steering
