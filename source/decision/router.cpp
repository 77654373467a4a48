#include "decision/router.h"

#include <algorithm>

namespace knapweed::decision {

namespace {

/** Interval at which target weights are recomputed. Health and membership change only with heartbeats, so a
    shorter interval would have no effect. */
constexpr core::milliseconds target_interval{100};

/** How many heartbeat intervals a new instance waits for the weights of its peers. */
constexpr int adoption_heartbeats = 2;

state::shift_cap cap_of(const wire::service& service)
{
    state::shift_cap cap;
    if (service.shift_cap_permille() > 0)
        cap.share = service.shift_cap_permille() / 1000.0;
    if (service.shift_window_ms() > 0)
        cap.window = core::milliseconds{service.shift_window_ms()};
    return cap;
}

} // namespace

router::router(node_context& shared)
    : shared_(shared), credit_(shared.time), links_(shared.time),
      adopt_peer_weights_until_(shared.time.now() + adoption_heartbeats * shared.options.heartbeat_interval)
{}

void router::configure(const wire::configuration& configuration)
{
    regions_.clear();
    drained_.clear();
    for (const auto& data_centre : configuration.data_centres()) {
        const core::data_centre_id name{data_centre.name()};
        regions_[name] = core::region_id{data_centre.region()};
        if (data_centre.drained())
            drained_.insert(name);
    }
    std::set<core::service_id> present;
    for (const auto& service : configuration.services()) {
        const core::service_id name{service.name()};
        present.insert(name);
        auto [found, is_new] = services_.try_emplace(
            name, service_routing{state::shift_limiter{cap_of(service), shared_.time}, {}});
        auto& routing = found->second;
        if (!is_new)
            routing.limiter.set_cap(cap_of(service));
        routing.slots.clear();
        for (const auto& server : service.backend_servers()) {
            if (!server.drained())
                routing.slots[core::data_centre_id{server.data_centre()}] += server.slots();
        }
    }
    std::erase_if(services_, [&present](const auto& entry) { return !present.contains(entry.first); });
    configure_links(configuration);
    next_target_ = shared_.time.now();
}

void router::configure_links(const wire::configuration& configuration)
{
    const auto& own_region = shared_.options.region;
    std::size_t senders = 0;
    for (const auto& [instance, member] : shared_.members.all())
        senders += member.region == own_region ? 1 : 0;
    for (const auto& link : configuration.links()) {
        const bool own_is_region_a = link.region_a() == own_region.str();
        if (!own_is_region_a && link.region_b() != own_region.str())
            continue;
        const core::region_id other{own_is_region_a ? link.region_b() : link.region_a()};
        const auto share = static_cast<double>(link.bytes_per_second()) /
                           static_cast<double>(std::max<std::size_t>(senders, 1));
        if (share > 0)
            links_.configure(other, share);
    }
}

void router::tick()
{
    const auto now = shared_.time.now();
    if (now >= next_target_) {
        next_target_ = now + target_interval;
        for (auto& [service, routing] : services_)
            set_target(service, routing);
    }
    for (auto& [service, routing] : services_)
        routing.limiter.tick();
}

void router::set_target(const core::service_id& service, service_routing& routing)
{
    if (routing.limiter.weights().empty() && shared_.time.now() < adopt_peer_weights_until_) {
        std::vector<state::weight_map> reported;
        for (const auto& [peer, weights] : peer_weights_[service])
            reported.push_back(weights);
        if (reported.empty() || !routing.limiter.adopt(reported))
            return;
    }
    state::weight_map local;
    state::weight_map remote;
    for (const auto& [data_centre, slots] : routing.slots) {
        if (drained_.contains(data_centre) || !can_serve({service, data_centre}))
            continue;
        auto& target = region_of(data_centre) == shared_.options.region ? local : remote;
        target[data_centre] = slots;
    }
    routing.limiter.set_target(local.empty() ? remote : local);
}

bool router::can_serve(const core::pool_id& pool) const
{
    const auto owner = shared_.placement.owner_of(pool);
    if (!owner)
        return false;
    const auto* report = credit_.fresh_report(pool);
    return report == nullptr || report->slots() > 0;
}

void router::heartbeat_received(const core::instance_id& from, const wire::heartbeat& message)
{
    for (const auto& report : message.pools())
        credit_.report(report);
    if (shared_.time.now() >= adopt_peer_weights_until_) {
        peer_weights_.clear();
        return;
    }
    const auto* peer = shared_.members.find(from);
    if (peer == nullptr || peer->region != shared_.options.region)
        return;
    for (const auto& service : message.weights()) {
        auto& target = peer_weights_[core::service_id{service.service()}][from];
        target.clear();
        for (const auto& [data_centre, weight] : service.weight())
            target[core::data_centre_id{data_centre}] = weight;
    }
}

std::variant<pool_choice, core::refusal_reason>
router::choose(const core::service_id& service, core::rank rank, const std::set<core::pool_id>& excluded)
{
    const auto found = services_.find(service);
    if (found == services_.end())
        return core::refusal_reason::unknown_service;
    auto& routing = found->second;
    const auto weighted_data_centre = routing.limiter.next();
    if (!weighted_data_centre)
        return core::refusal_reason::no_backend_server;
    const auto weighted_check = check({service, *weighted_data_centre}, rank, excluded);
    if (weighted_check.choice)
        return *weighted_check.choice;

    std::optional<pool_choice> spill;
    const auto is_in_own_region = [this](const pool_choice& choice) {
        return region_of(choice.pool.data_centre) == shared_.options.region;
    };
    for (const auto& [data_centre, slots] : routing.slots) {
        if (data_centre == *weighted_data_centre || drained_.contains(data_centre))
            continue;
        const auto candidate = check({service, data_centre}, rank, excluded);
        if (candidate.choice &&
            (!spill || (is_in_own_region(*candidate.choice) && !is_in_own_region(*spill))))
            spill = candidate.choice;
    }
    if (!spill)
        return weighted_check.reason;
    if (!routing.limiter.try_spill(rank))
        return core::refusal_reason::shift_cap;
    spill->spilled = true;
    return *spill;
}

router::candidate_check router::check(const core::pool_id& pool, core::rank rank,
                                      const std::set<core::pool_id>& excluded) const
{
    using core::refusal_reason;
    if (excluded.contains(pool))
        return {std::nullopt, refusal_reason::queue_full};
    const auto owner = shared_.placement.owner_of(pool);
    if (!owner)
        return {std::nullopt, refusal_reason::no_backend_server};
    if (*owner == shared_.options.instance)
        return {pool_choice{pool, *owner, shared_.options.address}, {}};
    const auto region = region_of(pool.data_centre);
    const bool same_region = region == shared_.options.region;
    if (credit_.available(pool, rank, same_region) == 0)
        return {std::nullopt, refusal_reason::no_credit};
    if (!same_region && !links_.admits(region, rank))
        return {std::nullopt, refusal_reason::link_budget};
    const auto* member = shared_.members.find(*owner);
    if (member == nullptr)
        return {std::nullopt, refusal_reason::no_backend_server};
    return {pool_choice{pool, *owner, member->address}, {}};
}

void router::finished(const core::pool_id& pool, core::rank rank, std::uint64_t answer_bytes)
{
    credit_.returned(pool, rank);
    const auto region = region_of(pool.data_centre);
    if (region != shared_.options.region)
        links_.charge(region, answer_bytes);
}

void router::add_weights(wire::heartbeat& message) const
{
    for (const auto& [service, routing] : services_) {
        if (routing.limiter.weights().empty())
            continue;
        auto& entry = *message.add_weights();
        entry.set_service(service.str());
        for (const auto& [data_centre, weight] : routing.limiter.weights())
            (*entry.mutable_weight())[data_centre.str()] = weight;
    }
}

const state::shift_limiter* router::weights(const core::service_id& service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : &found->second.limiter;
}

core::region_id router::region_of(const core::data_centre_id& data_centre) const
{
    const auto found = regions_.find(data_centre);
    return found == regions_.end() ? core::region_id{} : found->second;
}

} // namespace knapweed::decision
