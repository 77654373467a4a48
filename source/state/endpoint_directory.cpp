#include "state/endpoint_directory.h"

#include <algorithm>
#include <bit>

namespace knapweed::state {

namespace {

// Each cost exceeds the sum of those below it and of the largest load cost, 32.
constexpr std::uint64_t other_region_cost = 1U << 12U;
constexpr std::uint64_t suspected_cost = 1U << 10U;
constexpr std::uint64_t other_data_centre_cost = 1U << 8U;

} // namespace

endpoint_directory::endpoint_directory(const membership& members, const core::clock& time, std::uint64_t seed)
    : members_(members), time_(time), rotation_(seed)
{}

void endpoint_directory::configure(const wire::configuration& configuration)
{
    data_centres_of_service_.clear();
    regions_.clear();
    orders_.clear();
    for (const auto& data_centre : configuration.data_centres())
        regions_.emplace(data_centre.region());
    for (const auto& service : configuration.services()) {
        for (const auto& server : service.backend_servers())
            data_centres_of_service_[core::service_id{service.name()}].emplace(server.data_centre());
    }
}

void endpoint_directory::tick()
{
    if (time_.now() - computed_at_ < order_lifetime && generation_ == members_.generation())
        return;
    computed_at_ = time_.now();
    generation_ = members_.generation();
    orders_.clear();
}

lookup_result endpoint_directory::lookup_endpoints(const core::service_id& service,
                                                   const core::region_id& client_region, std::size_t limit)
{
    if (generation_ != members_.generation())
        tick();
    // Only configured names are used as keys, so that look-ups with invented names do not fill the cache.
    const auto region = regions_.contains(client_region) ? client_region : members_.options().region;
    const auto known_service = data_centres_of_service_.contains(service) ? service : core::service_id{};
    const auto [entry, is_new] = orders_.try_emplace({known_service, region});
    if (is_new)
        entry->second = compute_order(known_service, region);
    const auto& ranked = entry->second.endpoints;

    lookup_result result;
    result.degraded = entry->second.degraded;
    ++rotation_;
    for (std::size_t group_start = 0; group_start < ranked.size() && result.endpoints.size() < limit;) {
        std::size_t group_end = group_start;
        while (group_end < ranked.size() && ranked[group_end].cost == ranked[group_start].cost)
            ++group_end;
        const std::size_t group_size = group_end - group_start;
        for (std::size_t i = 0; i < group_size && result.endpoints.size() < limit; ++i)
            result.endpoints.push_back(ranked[group_start + (rotation_ + i) % group_size].endpoint);
        group_start = group_end;
    }
    return result;
}

endpoint_directory::endpoint_order endpoint_directory::compute_order(const core::service_id& service,
                                                                     const core::region_id& region) const
{
    const auto data_centres = data_centres_of_service_.find(service);
    endpoint_order order;
    order.degraded = true;
    for (const auto& [instance, peer] : members_.all()) {
        if (peer.state == member_state::leaving || peer.state == member_state::failed || peer.address.empty())
            continue;
        const bool is_in_region = peer.region == region;
        const bool is_alive = peer.state == member_state::alive;
        const bool hosts_service =
            data_centres == data_centres_of_service_.end() || data_centres->second.contains(peer.data_centre);
        if (is_in_region && is_alive)
            order.degraded = false;
        // Bit width of the load, at most 32: loads between the same powers of 2 have equal cost.
        std::uint64_t cost = static_cast<std::uint64_t>(std::bit_width(peer.requests_in_progress));
        cost += is_in_region ? 0 : other_region_cost;
        cost += is_alive ? 0 : suspected_cost;
        cost += hosts_service ? 0 : other_data_centre_cost;
        order.endpoints.push_back({cost, {peer.instance, peer.address}});
    }
    order.degraded = order.degraded || members_.is_isolated();
    std::stable_sort(order.endpoints.begin(), order.endpoints.end(),
                     [](const auto& a, const auto& b) { return a.cost < b.cost; });
    return order;
}

} // namespace knapweed::state
