#pragma once

#include "steering/peer_table.h"
#include "steering/table_change.h"

#include <map>
#include <optional>

namespace knapweed::steering {

/** Decides which instances watch the store continuously, and when the others have to read it themselves.

    One instance in each region is the reader: it watches the tables and sends every change to the instances
   of its region by datagram. The status messages between all instances contain the newest change of each
   table that the sender has. An instance that has missed a change, because a datagram was lost or its reader
   is cut off or has stalled, detects this within a status interval and reads the table once. When the
   store does not answer the reader, another instance that it answered last takes over; while it answers none,
   one instance of each region goes on trying. An instance that hears of no reader watches the store by
   itself.

    When the store comes back from an older copy of its rows, the instances hear of its new era from its
   answers or from each other, and read the tables as a whole. Until then the changes that a reader broadcasts
   are applied to the copies of before, because they are newer than all that these hold.

    Calls to the store are limited and cost money. If every instance watched both tables, the number of calls
    would grow with the product of instances and changes.
*/
class store_reader_role {
public:
    /** @param peers and @p time must outlive this object. @param capacity cores that the instance may use. */
    store_reader_role(core::instance_id own, core::region_id region, const peer_table& peers,
                      const core::clock& time, double capacity = 1);

    /** @returns whether this instance is the reader of its region. */
    [[nodiscard]] bool is_reader() const;
    /** @returns whether this instance has to watch the store now. */
    [[nodiscard]] bool must_follow_store() const { return is_reader() || !has_reader(); }
    /** @returns whether another instance has a change that this instance has not received. */
    [[nodiscard]] bool is_outdated(replicated_table table) const;
    /** @returns the newest change of a table that another instance is known to have. */
    [[nodiscard]] store_position newest_of_peers(replicated_table table) const
    {
        return copies_.at(index_of(table)).newest_of_peers;
    }
    /** @returns how long this instance has known that another one has a change that it has not received; 0
     * when no other has one. */
    [[nodiscard]] core::duration outdated_for(replicated_table table) const;
    /** @returns whether another instance has a change that this instance should have received by now. */
    [[nodiscard]] bool is_behind(replicated_table table) const;

    /** Records whether the store answered the latest call. */
    void record_call(bool answered);
    /** Records the era that the store states. Versions that are recorded afterwards belong to it. */
    void set_era(std::uint64_t era) { era_ = era; }
    /** @returns the latest era that the store stated to this instance, 0 when it stated none. */
    [[nodiscard]] std::uint64_t era() const noexcept { return era_; }

    /** @returns a complete list of a table's rows as a change that replaces the copy.
        @param version up to which the list is complete. Its pages are read one after the other: rows of
        later pages may be newer, and other changes of that time are missing. */
    [[nodiscard]] table_change change_of_list(replicated_table table, std::vector<table_row> rows,
                                              std::uint64_t version) const;
    /** @returns rows of the feed of a table as a change of the copy, without those that the copy has.
        @param version up to which the table has no other changes. */
    [[nodiscard]] table_change change_of_feed(replicated_table table, std::vector<table_row> rows,
                                              std::uint64_t version) const;
    /** Records that the copy of a table is complete up to a version of the store.
        @param newest_change version of the newest change in the table. */
    void set_table_version(replicated_table table, std::uint64_t newest_change, std::uint64_t version);
    /** Records that the copy of a table was replaced by a list that is complete up to a version, or by the
        copy of another instance. Neither shows whether rows were removed after @p newest_change. */
    void set_listed(replicated_table table, std::uint64_t newest_change, std::uint64_t version);
    /** @returns whether the change can be applied to the copy: the copy has all changes before it, but not
     * this one. */
    [[nodiscard]] bool can_apply(const table_change& change) const;
    /** @returns whether the change belongs to a later era than the copy. Its rows are newer than those of the
     * copy, but other changes may be missing. */
    [[nodiscard]] bool is_of_later_era(const table_change& change) const;
    /** Records that the rows of a change of a later era were applied. */
    void record_applied(const table_change& change);
    /** @returns the version of a change that the copy has, together with all before it; the newest one that
     * is known. Rows that were listed ahead of the rest are newer. */
    [[nodiscard]] std::uint64_t newest_change(replicated_table table) const;
    /** @returns the version of the store up to which the copy of a table is complete; 0 without a copy. */
    [[nodiscard]] std::uint64_t version(replicated_table table) const;

    /** @returns whether at least half of the readers can reach the store and so can this instance, if it has
       to watch the store. While the store is unavailable, entries of servers may expire. */
    [[nodiscard]] bool store_reachable() const;
    /** @returns whether a region is known to reach the store: the store answers this instance or the region's
       reader, and no call of a reader there has failed lately. */
    [[nodiscard]] bool reaches_store(const core::region_id& region) const;
    /** Ends the reader role because a graceful shutdown has begun; another instance becomes the reader. */
    void leave() { leaving_ = true; }
    [[nodiscard]] bool is_leaving() const noexcept { return leaving_; }

    /** Compares the copies with the status messages of the other instances; call it about every 100 ms. */
    void tick();

    /** @returns this instance's view of the store, for its status messages. */
    [[nodiscard]] store_view view() const;

private:
    struct table_copy {
        store_position newest_change;    ///< not after `position`
        store_position position;         ///< the copy is complete up to it
        store_position latest_possible;  ///< from here to `position` the table has no change
        store_position newest_of_peers;  ///< newest change that another instance has
        store_position applied_of_later; ///< newest change of a later era whose rows were applied
        std::uint64_t checked_era = 0;   ///< of another instance when the store was read last
        /** When a status message first showed that another instance has a newer change. */
        std::optional<core::time_point> behind_since;
    };

    /** @returns up to which version the table may have changes that a copy needs before the next one. */
    [[nodiscard]] std::uint64_t latest_possible_change(replicated_table table) const;
    [[nodiscard]] bool has_reader() const;
    /** @returns whether the versions of another instance can be compared with those of this one: an instance
     * of a build that doesn't know eras may still hold versions of an earlier one. */
    [[nodiscard]] bool is_comparable(const instance_status& status) const
    {
        return era_ == 0 || status.store.era != 0;
    }
    /** @returns whether all other live instances of the region share copies. */
    [[nodiscard]] bool region_shares_copies() const;
    /** @returns whether the store answers this instance, a single failure aside. */
    [[nodiscard]] bool store_answers() const;

    core::instance_id own_;
    core::region_id region_;
    const peer_table& peers_;
    const core::clock& time_;
    double capacity_;
    std::array<table_copy, number_of_replicated_tables> copies_;
    std::uint64_t era_ = 0;
    bool calls_answered_ = false;
    /** Consecutive calls without an answer. An instance that has made no call counts as one that failed. */
    unsigned failures_ = 1;
    std::optional<core::time_point> last_answer_;
    /** When a call of a reader of each region was last without an answer. */
    std::map<core::region_id, core::time_point> unanswered_at_;
    bool leaving_ = false;
};

} // namespace knapweed::steering
