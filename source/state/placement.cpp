#include "state/placement.h"

#include <algorithm>
#include <iterator>

namespace knapweed::state {

namespace {

/** Added to the longest run time of a request; after the sum of both a silent instance no longer makes a pool
    disputed (design 4.2). */
constexpr core::milliseconds dispute_margin{10000};

bool can_own(const member& peer)
{
    return peer.state == member_state::alive || peer.state == member_state::suspected;
}

std::string rendezvous_key(const core::pool_id& pool)
{
    return pool.service.str() + "@" + pool.data_centre.str();
}

std::vector<core::instance_id> names_that_can_own(const std::vector<const member*>& peers)
{
    std::vector<core::instance_id> names;
    for (const member* peer : peers) {
        if (can_own(*peer))
            names.push_back(peer->instance);
    }
    return names;
}

} // namespace

void placement::configure(const wire::configuration& configuration)
{
    regions_.clear();
    for (const auto& data_centre : configuration.data_centres())
        regions_[core::data_centre_id{data_centre.name()}] = core::region_id{data_centre.region()};
}

std::vector<core::instance_id> placement::candidates(const core::pool_id& pool) const
{
    const auto& local = members_of(pool.data_centre);
    auto names = names_that_can_own(local);
    const bool all_left = std::all_of(local.begin(), local.end(),
                                      [](const member* peer) { return is_known_to_have_left(*peer); });
    if (names.empty() && all_left)
        names = names_that_can_own(sibling_members(pool.data_centre));
    return names;
}

std::optional<core::instance_id> placement::owner_of(const core::pool_id& pool) const
{
    const auto names = candidates(pool);
    if (names.empty())
        return std::nullopt;
    const auto key = rendezvous_key(pool);
    return *std::max_element(names.begin(), names.end(), [&key](const auto& a, const auto& b) {
        return rendezvous_score(a, key) < rendezvous_score(b, key);
    });
}

pool_dispute placement::disputed(const core::pool_id& pool, core::milliseconds max_run) const
{
    const auto& options = members_.options();
    const auto& local = members_of(pool.data_centre);
    const bool all_left = std::all_of(local.begin(), local.end(),
                                      [](const member* peer) { return is_known_to_have_left(*peer); });
    pool_dispute dispute;
    for (const member* peer : all_left ? sibling_members(pool.data_centre) : local) {
        const auto silence = members_.time_since_heartbeat(*peer);
        if (is_known_to_have_left(*peer) || silence >= max_run + dispute_margin)
            continue;
        dispute.candidates.push_back(peer->instance);
        if (silence >= options.suspect_after)
            dispute.silent.push_back(peer->instance);
    }
    return dispute;
}

std::optional<witness> placement::pick_witness(const member& owner, std::uint64_t tie_breaker) const
{
    // In order of preference: another data centre of the region, the owner's data centre, another region.
    std::array<member_list, 3> choices;
    const auto consider = [&](const member* peer) {
        constexpr std::array<std::size_t, 3> order{1, 0, 2}; // indexed by distance_between
        if (peer->state == member_state::alive && peer->incarnation.value != 0 &&
            peer->instance != owner.instance)
            choices.at(order.at(static_cast<std::size_t>(distance_between(owner, *peer)))).push_back(peer);
    };
    if (const auto regional = index().by_region.find(owner.region); regional != index().by_region.end())
        std::for_each(regional->second.begin(), regional->second.end(), consider);
    if (choices[0].empty() && choices[1].empty()) {
        for (const auto& [name, peer] : members_.all()) {
            if (peer.region != owner.region)
                consider(&peer);
        }
    }
    for (const auto& group : choices) {
        if (group.empty())
            continue;
        const member& chosen = *group[tie_breaker % group.size()];
        return witness{chosen.instance, chosen.incarnation, chosen.address};
    }
    return std::nullopt;
}

core::region_id placement::region_of(const core::data_centre_id& data_centre) const
{
    const auto configured = regions_.find(data_centre);
    if (configured != regions_.end())
        return configured->second;
    const auto& local = members_of(data_centre);
    return local.empty() ? core::region_id{} : local.front()->region;
}

const placement::member_index& placement::index() const
{
    if (index_.generation == members_.generation())
        return index_;
    index_ = {};
    index_.generation = members_.generation();
    for (const auto& [instance, peer] : members_.all()) {
        index_.by_data_centre[peer.data_centre].push_back(&peer);
        index_.by_region[peer.region].push_back(&peer);
    }
    return index_;
}

const placement::member_list& placement::members_of(const core::data_centre_id& data_centre) const
{
    static const member_list no_members;
    const auto found = index().by_data_centre.find(data_centre);
    return found == index_.by_data_centre.end() ? no_members : found->second;
}

std::vector<const member*> placement::sibling_members(const core::data_centre_id& data_centre) const
{
    member_list siblings;
    const auto found = index().by_region.find(region_of(data_centre));
    if (found == index_.by_region.end())
        return siblings;
    std::copy_if(found->second.begin(), found->second.end(), std::back_inserter(siblings),
                 [&data_centre](const member* peer) { return peer->data_centre != data_centre; });
    return siblings;
}

bool is_known_to_have_left(const member& peer)
{
    return (peer.delisted && peer.state == member_state::failed) || peer.leaving_announced ||
           peer.listed_as_leaving;
}

} // namespace knapweed::state
