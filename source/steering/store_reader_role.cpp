#include "steering/store_reader_role.h"

#include <algorithm>
#include <tuple>

namespace knapweed::steering {

namespace {

/** One reader is enough. When it ends or is cut off, the instances of its region detect missed changes from
   the status messages of other regions, and read the table themselves. */
constexpr std::size_t readers_per_region = 1;
/** Time within which a change that another region has received also arrives from this region's reader: the
   store answers all readers at the same time, and a datagram takes at most one round trip of 110 ms. */
constexpr core::milliseconds change_delivery_time{250};
/** Time after its latest status message for which a reader counts as running: two of its messages may be
   lost. Without a reader, every instance watches the store itself. An instance that is cut off from
   all others must detect within 2.5 s that a server is leaving. */
constexpr core::milliseconds reader_valid_for{1300};

/** Time after its last answered call for which one failed call does not count: the next one may be answered.
 */
constexpr core::milliseconds answer_valid_for{2000};
constexpr unsigned max_failures_while_valid = 1;
/** Time for which a region doesn't count as reaching the store after one of its readers got no answer. The
   instance that takes over claims an answer until its own first call has failed, which takes the 2.1 s of a
   call and up to two status intervals. */
constexpr core::milliseconds reader_handover_time{3500};

/** @returns the position of an instance in the order of readers; the lowest in a region is the reader.
   Instances that the store answers come first, then larger ones, since the others take large changes from the
   reader.
   @param capacity 0 for instances that are ordered without regard to it. */
std::tuple<bool, double, std::uint64_t> reader_rank(const core::instance_id& instance, bool store_answers,
                                                    double capacity)
{
    return {!store_answers, -capacity, core::hash_text(instance.str())};
}

} // namespace

store_reader_role::store_reader_role(core::instance_id own, core::region_id region, const peer_table& peers,
                                     const core::clock& time, double capacity)
    : own_(std::move(own)), region_(std::move(region)), peers_(peers), time_(time), capacity_(capacity)
{}

bool store_reader_role::region_shares_copies() const
{
    bool all_share = true;
    peers_.visit_live(peer_table::live_timeout, [this, &all_share](const instance_status& status) {
        if (status.location.region == region_ && !status.leaving)
            all_share = all_share && status.store.shares_copies;
    });
    return all_share;
}

bool store_reader_role::is_reader() const
{
    if (leaving_)
        return false;
    // Instances of a build that doesn't share copies order the readers without regard to their capacity.
    const bool by_capacity = region_shares_copies();
    const auto own_rank = reader_rank(own_, store_answers(), by_capacity ? capacity_ : 0);
    std::size_t lower_ranked = 0;
    peers_.visit_live(peer_table::live_timeout, [&](const instance_status& status) {
        if (status.location.region == region_ && !status.leaving && is_comparable(status) &&
            reader_rank(status.instance, status.store.reachable, by_capacity ? status.capacity : 0) <
                own_rank)
            ++lower_ranked;
    });
    return lower_ranked < readers_per_region;
}

bool store_reader_role::has_reader() const
{
    bool found = false;
    peers_.visit_live(reader_valid_for, [this, &found](const instance_status& status) {
        found = found || (status.store.reads && is_comparable(status));
    });
    return found;
}

bool store_reader_role::store_answers() const
{
    return failures_ == 0 || (failures_ <= max_failures_while_valid && last_answer_ &&
                              time_.now() - *last_answer_ < answer_valid_for);
}

void store_reader_role::record_call(bool answered)
{
    calls_answered_ = answered;
    if (!answered) {
        ++failures_;
        unanswered_at_[region_] = time_.now();
        return;
    }
    failures_ = 0;
    last_answer_ = time_.now();
}

bool store_reader_role::is_outdated(replicated_table table) const
{
    const auto& copy = copies_.at(index_of(table));
    return copy.newest_of_peers > copy.position || copy.position.era < era_;
}

core::duration store_reader_role::outdated_for(replicated_table table) const
{
    const auto& behind_since = copies_.at(index_of(table)).behind_since;
    return behind_since ? time_.now() - *behind_since : core::duration::zero();
}

bool store_reader_role::is_behind(replicated_table table) const
{
    const auto& copy = copies_.at(index_of(table));
    if (!copy.behind_since)
        return false;
    const bool is_new_era = copy.newest_of_peers.era > std::max(copy.position.era, copy.checked_era);
    return is_new_era || time_.now() - *copy.behind_since >= change_delivery_time;
}

table_change store_reader_role::change_of_list(replicated_table table, std::vector<table_row> rows,
                                               std::uint64_t version) const
{
    table_change change;
    change.table = table;
    change.version = version;
    change.era = era_;
    change.rows = std::move(rows);
    // A list does not contain removed rows. Of a table that is listed again, changes were missed that this
    // instance will not broadcast: others read them when they are told of the list's version.
    if (this->version(table) > 0) {
        change.newest = version;
        return change;
    }
    for (const auto& row : change.rows) {
        if (row.version <= version)
            change.newest = std::max(change.newest, row.version);
    }
    return change;
}

table_change store_reader_role::change_of_feed(replicated_table table, std::vector<table_row> rows,
                                               std::uint64_t version) const
{
    table_change change;
    change.table = table;
    change.follows = latest_possible_change(table);
    change.newest = newest_change(table);
    change.version = version;
    change.era = era_;
    change.rows = std::move(rows);
    // Another instance may have sent some of them, and later ones, while the store was read.
    std::erase_if(change.rows, [has = this->version(table)](const auto& row) { return row.version <= has; });
    for (const auto& row : change.rows)
        change.newest = std::max(change.newest, row.version);
    return change;
}

void store_reader_role::set_table_version(replicated_table table, std::uint64_t newest_change,
                                          std::uint64_t version)
{
    auto& copy = copies_.at(index_of(table));
    copy.newest_change = std::max(copy.newest_change, {era_, newest_change});
    copy.position = std::max(copy.position, {era_, version});
    copy.latest_possible = std::max(copy.latest_possible, copy.newest_change);
    copy.checked_era = copy.newest_of_peers.era;
    copy.behind_since.reset();
}

void store_reader_role::set_listed(replicated_table table, std::uint64_t newest_change, std::uint64_t version)
{
    auto& copy = copies_.at(index_of(table));
    copy.newest_change = {};
    copy.position = {};
    copy.latest_possible = {era_, version};
    set_table_version(table, newest_change, version);
}

bool store_reader_role::can_apply(const table_change& change) const
{
    const auto& position = copies_.at(index_of(change.table)).position;
    return position.version > 0 && change.era == position.era && change.follows <= position.version &&
           change.newest > position.version;
}

bool store_reader_role::is_of_later_era(const table_change& change) const
{
    const auto& copy = copies_.at(index_of(change.table));
    const store_position newest{change.era, change.newest};
    return copy.position.version > 0 && change.era > copy.position.era && newest > copy.applied_of_later;
}

void store_reader_role::record_applied(const table_change& change)
{
    copies_.at(index_of(change.table)).applied_of_later = {change.era, change.newest};
}

std::uint64_t store_reader_role::newest_change(replicated_table table) const
{
    const auto& newest = copies_.at(index_of(table)).newest_change;
    return newest.era == era_ ? newest.version : 0;
}

std::uint64_t store_reader_role::latest_possible_change(replicated_table table) const
{
    const auto& latest = copies_.at(index_of(table)).latest_possible;
    return latest.era == era_ ? latest.version : 0;
}

std::uint64_t store_reader_role::version(replicated_table table) const
{
    return copies_.at(index_of(table)).position.version;
}

bool store_reader_role::store_reachable() const
{
    if (must_follow_store() && !calls_answered_)
        return false;
    std::size_t readers = 0;
    std::size_t readers_without_store = 0;
    peers_.visit_live(peer_table::live_timeout, [&](const instance_status& status) {
        if (!status.store.reads)
            return;
        ++readers;
        if (!status.store.reachable)
            ++readers_without_store;
    });
    return 2 * readers_without_store <= readers;
}

bool store_reader_role::reaches_store(const core::region_id& region) const
{
    if (must_follow_store() && !calls_answered_)
        return false;
    const auto unanswered = unanswered_at_.find(region);
    if (unanswered != unanswered_at_.end() && time_.now() - unanswered->second < reader_handover_time)
        return false;
    if (region == region_ && must_follow_store())
        return last_answer_ && time_.now() - *last_answer_ < answer_valid_for;
    bool answered = false;
    peers_.visit_live(peer_table::live_timeout, [&](const instance_status& status) {
        answered =
            answered || (status.location.region == region && status.store.reads && status.store.reachable);
    });
    return answered;
}

void store_reader_role::tick()
{
    std::array<store_position, number_of_replicated_tables> newest_of_peers{};
    peers_.visit_live(peer_table::live_timeout, [this, &newest_of_peers](const instance_status& status) {
        // An instance that starts has no copy yet, and no answer because it has just begun to call.
        const auto& copies = status.store.newest_change;
        const bool has_copy =
            std::any_of(copies.begin(), copies.end(), [](auto version) { return version > 0; });
        if (status.store.reads && !status.store.reachable && has_copy)
            unanswered_at_[status.location.region] = time_.now();
        if (!is_comparable(status))
            return;
        for (std::size_t i = 0; i < newest_of_peers.size(); ++i)
            newest_of_peers.at(i) =
                std::max(newest_of_peers.at(i), {status.store.era, status.store.newest_change.at(i)});
    });
    for (std::size_t i = 0; i < newest_of_peers.size(); ++i) {
        auto& copy = copies_.at(i);
        copy.newest_of_peers = newest_of_peers.at(i);
        if (copy.newest_of_peers <= copy.position)
            copy.behind_since.reset();
        else if (!copy.behind_since)
            copy.behind_since = time_.now();
    }
}

store_view store_reader_role::view() const
{
    store_view view;
    view.reads = is_reader();
    view.reachable = store_answers();
    view.era = era_;
    view.shares_copies = true;
    for (const auto table : {replicated_table::operators, replicated_table::servers})
        view.newest_change.at(index_of(table)) = newest_change(table);
    return view;
}

} // namespace knapweed::steering
