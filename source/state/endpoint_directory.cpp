#include "state/endpoint_directory.h"

#include <algorithm>
#include <bit>

namespace knapweed::state {

namespace {

constexpr std::uint64_t other_region_cost = 1U << 12U;
constexpr std::uint64_t suspected_cost = 1U << 10U;
constexpr std::uint64_t other_data_centre_cost = 1U << 8U;

} // namespace

endpoint_directory::endpoint_directory(const membership& members, const core::clock& time, std::uint64_t seed)
    : members_(members), time_(time), turn_(seed)
{}

void endpoint_directory::configure(const wire::configuration& configuration)
{
    hosts_.clear();
    regions_.clear();
    orders_.clear();
    for (const auto& data_centre : configuration.data_centres())
        regions_.emplace(data_centre.region());
    for (const auto& service : configuration.services()) {
        for (const auto& server : service.backend_servers())
            hosts_[core::service_id{service.name()}].emplace(server.data_centre());
    }
}

void endpoint_directory::tick()
{
    if (time_.now() - computed_ < order_lifetime && generation_ == members_.generation())
        return;
    computed_ = time_.now();
    generation_ = members_.generation();
    orders_.clear();
}

lookup_result endpoint_directory::lookup_endpoints(const core::service_id& service,
                                                   const core::region_id& client_region, std::size_t limit)
{
    if (generation_ != members_.generation())
        tick();
    // Only configured names become keys, so that look-ups with invented names do not fill the cache.
    const auto region = regions_.contains(client_region) ? client_region : members_.options().region;
    const auto hint = hosts_.contains(service) ? service : core::service_id{};
    const auto [entry, is_new] = orders_.try_emplace({hint, region});
    if (is_new)
        entry->second = compute_order(hint, region);
    const auto& ranked = entry->second.endpoints;

    lookup_result view;
    view.degraded = entry->second.degraded;
    ++turn_;
    for (std::size_t first = 0; first < ranked.size() && view.endpoints.size() < limit;) {
        std::size_t last = first;
        while (last < ranked.size() && ranked[last].cost == ranked[first].cost)
            ++last;
        const std::size_t equals = last - first;
        for (std::size_t i = 0; i < equals && view.endpoints.size() < limit; ++i)
            view.endpoints.push_back(ranked[first + (turn_ + i) % equals].endpoint);
        first = last;
    }
    return view;
}

endpoint_directory::endpoint_order endpoint_directory::compute_order(const core::service_id& service,
                                                                     const core::region_id& region) const
{
    const auto hosts = hosts_.find(service);
    endpoint_order order;
    order.degraded = true;
    for (const auto& [instance, peer] : members_.all()) {
        if (peer.state == member_state::leaving || peer.state == member_state::failed || peer.address.empty())
            continue;
        const bool is_near = peer.region == region;
        const bool is_alive = peer.state == member_state::alive;
        const bool hosts_service = hosts == hosts_.end() || hosts->second.contains(peer.data_centre);
        if (is_near && is_alive)
            order.degraded = false;
        // Logarithm of the load: equal within a factor of 2, at most 32.
        std::uint64_t cost = static_cast<std::uint64_t>(std::bit_width(peer.requests_in_progress));
        cost += is_near ? 0 : other_region_cost;
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
