#include "steering/copy_source_selector.h"

namespace knapweed::steering {

namespace {

/** Time within which a change that fits into a datagram also arrives from the reader. */
constexpr core::milliseconds datagram_delivery_time{100};
/** Time after which an instance that is no reader looks for a copy in other regions. */
constexpr core::milliseconds region_delivery_time{1000};
/** Time after which an instance reads the store, although others have what it lacks; each instance adds a
   part of the second time, so that not all of them read at the same moment. */
constexpr core::milliseconds longest_wait_for_copy{1200};
constexpr core::milliseconds spread_of_wait{600};
/** An instance that couldn't be reached is not asked again for this time. */
constexpr core::milliseconds failure_valid_for{1000};

} // namespace

copy_source_selector::copy_source_selector(core::region_id region, const peer_table& peers,
                                           const store_reader_role& role, const core::clock& time,
                                           std::uint64_t seed)
    : region_(std::move(region)), peers_(peers), role_(role), time_(time), random_(seed),
      longest_wait_(longest_wait_for_copy +
                    core::milliseconds(random_.below(static_cast<std::uint64_t>(spread_of_wait.count()))))
{}

bool copy_source_selector::has_failed(const core::instance_id& instance) const
{
    const auto found = failed_at_.find(instance);
    return found != failed_at_.end() && time_.now() - found->second < failure_valid_for;
}

copy_source_selector::candidates copy_source_selector::find(replicated_table table) const
{
    candidates found;
    const auto newest = role_.newest_of_peers(table);
    peers_.visit_live(peer_table::live_timeout, [&](const instance_status& status) {
        const store_position position{status.store.era, status.store.newest_change.at(index_of(table))};
        if (!status.store.shares_copies || status.leaving || position != newest ||
            has_failed(status.instance))
            return;
        auto& group = status.location.region == region_ ? found.in_region : found.elsewhere;
        group.push_back({status.instance, status.peer_address});
    });
    return found;
}

std::optional<copy_source> copy_source_selector::next(replicated_table table)
{
    // The versions of another era can't be compared: the table is listed from the store then.
    if (!role_.is_outdated(table) || role_.newest_of_peers(table).era != role_.era())
        return std::nullopt;
    const auto outdated_for = role_.outdated_for(table);
    const bool reads_store = role_.must_follow_store();
    if (outdated_for < datagram_delivery_time && !reads_store)
        return std::nullopt;
    const auto found = find(table);
    const auto& group = !found.in_region.empty() ? found.in_region : found.elsewhere;
    if (group.empty() || (found.in_region.empty() && !reads_store && outdated_for < region_delivery_time))
        return std::nullopt;
    return group.at(random_.below(group.size()));
}

bool copy_source_selector::is_expected(replicated_table table) const
{
    if (role_.newest_of_peers(table).era != role_.era() || role_.outdated_for(table) >= longest_wait_)
        return false;
    const auto found = find(table);
    return !found.in_region.empty() || !found.elsewhere.empty();
}

void copy_source_selector::record_failure(const core::instance_id& instance)
{
    std::erase_if(failed_at_,
                  [this](const auto& entry) { return time_.now() - entry.second >= failure_valid_for; });
    failed_at_[instance] = time_.now();
}

} // namespace knapweed::steering
