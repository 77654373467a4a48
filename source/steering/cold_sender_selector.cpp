#include "steering/cold_sender_selector.h"

#include <algorithm>

namespace knapweed::steering {

namespace {

/** Time for which a decision is cached. Servers stay cold for seconds, and instances start and stop less
   often than that. */
constexpr core::milliseconds decision_valid_for{500};
constexpr std::size_t max_cached_decisions = 4096;
/** Part of the limit that is used, since instances may differ for a moment on which instances are live. */
constexpr double usable_share = 0.8;

/** @returns the sort key of an instance for one server; instances of the server's region come first. */
std::pair<bool, std::uint64_t> sender_rank(const core::instance_id& instance, const core::region_id& region,
                                           const backend_server& server)
{
    return {region != server.region(), core::hash_text(instance.str(), server.id_hash())};
}

} // namespace

cold_sender_selector::cold_sender_selector(core::instance_id own, core::region_id region,
                                           const peer_table& peers, const core::clock& time)
    : own_(std::move(own)), region_(std::move(region)), peers_(peers), time_(time)
{}

bool cold_sender_selector::is_sender(const backend_server& server, std::size_t max_senders) const
{
    const auto own_rank = sender_rank(own_, region_, server);
    std::size_t lower_ranked = 0;
    peers_.visit_present([&](const instance_status& status) {
        if (sender_rank(status.instance, status.location.region, server) < own_rank)
            ++lower_ranked;
    });
    return lower_ranked < max_senders;
}

bool cold_sender_selector::may_send_to_cold(const backend_server& server, std::size_t max_senders)
{
    if (peers_.known_peers() < max_senders)
        return true;
    if (decisions_.size() >= max_cached_decisions)
        decisions_.clear();
    auto& decision = decisions_[server.id_hash()];
    if (time_.now() >= decision.valid_until)
        decision = {is_sender(server, max_senders), time_.now() + decision_valid_for};
    return decision.may_send;
}

std::size_t max_cold_senders(double requests_per_second, double multiplier, double slack)
{
    const double limit = requests_per_second * multiplier + slack;
    constexpr double most = 1e6; // more than any number of instances
    return static_cast<std::size_t>(std::clamp(limit * usable_share, 1.0, most));
}

} // namespace knapweed::steering
