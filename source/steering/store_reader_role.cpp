#include "steering/store_reader_role.h"

#include <algorithm>

namespace knapweed::steering {

namespace {

/** The others' readers and statuses make good for a lost one, so a region needs no second reader. */
constexpr std::size_t readers_in_a_region = 1;
/** A change that another region knows of reaches this instance from its own reader within this time: the
   store answers all readers at once, and a datagram takes a round trip of 110 ms at most. */
constexpr core::milliseconds change_travel_time{250};
/** Two of a reader's status messages may be lost before its region's instances read the store by themselves.
   An instance that is cut off from all others must know of a server's leaving within 2.5 s. */
constexpr core::milliseconds reader_valid_for{1300};

std::uint64_t reader_weight(const core::instance_id& instance)
{
    return core::hash_text(instance.str());
}

} // namespace

store_reader_role::store_reader_role(core::instance_id own, core::region_id region, const peer_table& peers,
                                     const core::clock& time)
    : own_(std::move(own)), region_(std::move(region)), peers_(peers), time_(time)
{}

bool store_reader_role::is_reader() const
{
    if (leaving_)
        return false;
    const auto own = reader_weight(own_);
    std::size_t ahead = 0;
    peers_.visit_live(peer_table::live_timeout, [&](const instance_status& status) {
        if (status.location.region == region_ && !status.leaving && reader_weight(status.instance) < own)
            ++ahead;
    });
    return ahead < readers_in_a_region;
}

bool store_reader_role::has_reachable_reader() const
{
    bool found = false;
    peers_.visit_live(reader_valid_for, [&found](const instance_status& status) {
        found = found || (status.store.reads && status.store.reachable);
    });
    return found;
}

bool store_reader_role::is_behind(replicated_table table) const
{
    const auto& since = copies_.at(index_of(table)).behind_since;
    return since && time_.now() - *since >= change_travel_time;
}

void store_reader_role::set_table_version(replicated_table table, std::uint64_t newest_change,
                                          std::uint64_t version)
{
    auto& copy = copies_.at(index_of(table));
    copy.newest_change = std::max(copy.newest_change, newest_change);
    copy.version = std::max(copy.version, version);
    copy.behind_since.reset();
}

bool store_reader_role::can_apply(const table_change& change) const
{
    const auto& copy = copies_.at(index_of(change.table));
    return copy.version > 0 && change.follows <= copy.version && change.newest > copy.version;
}

std::uint64_t store_reader_role::newest_change(replicated_table table) const
{
    return copies_.at(index_of(table)).newest_change;
}

std::uint64_t store_reader_role::version(replicated_table table) const
{
    return copies_.at(index_of(table)).version;
}

bool store_reader_role::store_reachable() const
{
    if (must_follow_store() && !calls_answered_)
        return false;
    std::size_t readers = 0;
    std::size_t cut_off = 0;
    peers_.visit_live(peer_table::live_timeout, [&](const instance_status& status) {
        if (!status.store.reads)
            return;
        ++readers;
        if (!status.store.reachable)
            ++cut_off;
    });
    return 2 * cut_off <= readers;
}

void store_reader_role::tick()
{
    std::array<std::uint64_t, number_of_replicated_tables> told{};
    peers_.visit_live(peer_table::live_timeout, [&told](const instance_status& status) {
        for (std::size_t i = 0; i < told.size(); ++i)
            told.at(i) = std::max(told.at(i), status.store.newest_change.at(i));
    });
    for (std::size_t i = 0; i < told.size(); ++i) {
        auto& copy = copies_.at(i);
        if (told.at(i) <= copy.version)
            copy.behind_since.reset();
        else if (!copy.behind_since)
            copy.behind_since = time_.now();
    }
}

store_view store_reader_role::view() const
{
    store_view view;
    view.reads = is_reader();
    view.reachable = calls_answered_;
    for (std::size_t i = 0; i < copies_.size(); ++i)
        view.newest_change.at(i) = copies_.at(i).newest_change;
    return view;
}

} // namespace knapweed::steering
