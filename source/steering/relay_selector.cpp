#include "steering/relay_selector.h"

#include <algorithm>

namespace knapweed::steering {

namespace {

/** Time for which an instance that could not be connected gets no requests. */
constexpr core::milliseconds avoid_for{1000};
/** Age of the latest status message up to which an instance counts as able to help: two may be lost. */
constexpr core::milliseconds status_valid_for{1300};

template <typename Item>
bool contains(std::span<const Item> items, const Item& item)
{
    return std::find(items.begin(), items.end(), item) != items.end();
}

} // namespace

relay_selector::relay_selector(core::region_id own_region, const peer_table& peers, const core::clock& time,
                               std::uint64_t seed)
    : own_region_(std::move(own_region)), peers_(peers), time_(time), random_(seed)
{}

std::optional<relay_selector::choice> relay_selector::choose(std::span<const core::region_id> allowed_regions,
                                                             std::span<const core::instance_id> excluded)
{
    const auto now = time_.now();
    std::erase_if(avoided_until_, [now](const auto& entry) { return entry.second <= now; });
    std::vector<const instance_status*> near;
    std::vector<const instance_status*> far;
    peers_.visit_live(status_valid_for, [&](const instance_status& status) {
        const auto& region = status.location.region;
        if (!status.ready || status.leaving || !status.reaches_servers ||
            avoided_until_.contains(status.instance) || contains(excluded, status.instance) ||
            (!allowed_regions.empty() && !contains(allowed_regions, region)))
            return;
        (region == own_region_ ? near : far).push_back(&status);
    });
    const auto& candidates = near.empty() ? far : near;
    if (candidates.empty())
        return std::nullopt;
    const auto* first = candidates[random_.below(candidates.size())];
    const auto* second = candidates[random_.below(candidates.size())];
    const auto& best = load_of(*second) < load_of(*first) ? *second : *first;
    return choice{best.instance, best.peer_address};
}

double relay_selector::load_of(const instance_status& status) const
{
    const auto found = in_progress_.find(status.instance);
    return found == in_progress_.end() ? 0 : found->second / status.capacity;
}

void relay_selector::relay_started(const core::instance_id& instance)
{
    ++in_progress_[instance];
}

void relay_selector::relay_ended(const core::instance_id& instance, bool unreachable)
{
    const auto found = in_progress_.find(instance);
    if (found != in_progress_.end() && --found->second == 0)
        in_progress_.erase(found);
    if (unreachable)
        avoided_until_[instance] = time_.now() + avoid_for;
}

} // namespace knapweed::steering
