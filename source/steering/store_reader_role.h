#pragma once

#include "steering/peer_table.h"
#include "steering/table_change.h"

namespace knapweed::steering {

/** Decides which instances read the store all the time, and when the others have to ask it themselves.

    One instance in each region is the reader: it follows the tables and tells the instances of its region
    every change by datagram. All instances tell each other with their status the newest change that they know
    of. One that has missed a change, because a datagram was lost or its reader is cut off or frozen, sees
   this within a status interval and reads the table once. While no reader reaches the store, every instance
    follows it by itself.

    Calls to the store are limited and priced: with every instance following both tables they grow with the
    instances and with the changes at once.
*/
class store_reader_role {
public:
    /** @param peers and @p time must outlive this object. */
    store_reader_role(core::instance_id own, core::region_id region, const peer_table& peers,
                      const core::clock& time);

    /** @returns whether this instance is a reader of its region. */
    [[nodiscard]] bool is_reader() const;
    /** @returns whether this instance has to follow the store now. */
    [[nodiscard]] bool must_follow_store() const { return is_reader() || !has_reachable_reader(); }
    /** @returns whether another instance knows of a change that this one should have been told by now. */
    [[nodiscard]] bool is_behind(replicated_table table) const;

    /** The store answered a call, or did not. */
    void record_call(bool answered) { calls_answered_ = answered; }
    /** The copy of a table is complete up to this version of the store. */
    void set_table_version(replicated_table table, std::uint64_t newest_change, std::uint64_t version);
    /** @returns whether a copy can take this change without missing one before it. */
    [[nodiscard]] bool can_apply(const table_change& change) const;
    [[nodiscard]] std::uint64_t newest_change(replicated_table table) const;
    [[nodiscard]] std::uint64_t version(replicated_table table) const;

    /** @returns whether the store is there, as far as this instance and the readers know. Entries of servers
        may lapse while it is not. */
    [[nodiscard]] bool store_reachable() const;
    /** A graceful shutdown has begun: another instance becomes the reader. */
    void leave() { leaving_ = true; }

    /** To be called about every 100 ms. */
    void tick();

    [[nodiscard]] store_view view() const;

private:
    struct table_copy {
        std::uint64_t newest_change = 0;
        std::uint64_t version = 0;
        std::optional<core::time_point> behind_since;
    };

    [[nodiscard]] bool has_reachable_reader() const;

    core::instance_id own_;
    core::region_id region_;
    const peer_table& peers_;
    const core::clock& time_;
    std::array<table_copy, number_of_replicated_tables> copies_;
    bool calls_answered_ = false;
    bool leaving_ = false;
};

} // namespace knapweed::steering
