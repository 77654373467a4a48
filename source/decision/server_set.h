#pragma once

#include "decision/server_slots.h"
#include "peer.pb.h"

#include <map>

namespace knapweed::decision {

/** The servers of one pool. Chooses the server for a run, and applies takeover, hand-over and disputed
   ownership to the slots of all servers. */
class server_set {
public:
    /** Adds, updates and retires servers; runs on retired servers continue. */
    void configure(const std::vector<pool_server>& servers, core::duration max_run, core::time_point now);

    /** Frees slots whose assumed occupation has expired, and removes retired servers without occupied slots.
     */
    void tick(core::time_point now);

    /** Treats every slot that this owner does not use as occupied, until load reports show it free or the
       longest run time and a grace time have passed. */
    void take_over(core::time_point now);
    /** Treats as many slots as occupied as the previous owner reported. */
    void accept(const wire::hand_over_pool& counts, core::time_point now);
    /** Adds the number of occupied slots of each server to a hand-over message. */
    void export_counts(wire::hand_over_pool& counts) const;

    /** Limits this owner to an equal share of the slots while its ownership is disputed.
        @param candidates instances that may be the owner, this one included
        @param present_owner whether this instance was the owner before the dispute; it then keeps at least
       one slot in the pool. */
    void dispute(std::uint32_t candidates, bool present_owner);
    /** Ends a dispute: the shares of the other candidates count as occupied until load reports show them free
       or the longest run time and a grace time have passed. */
    void end_dispute(core::time_point now);
    [[nodiscard]] bool disputed() const { return candidates_ > 1; }

    /** @returns the server with a free slot and the fewest runs, or null.
        @param reserved server to skip, because it is reserved for a request that runs alone; may be null. */
    [[nodiscard]] server_slots* pick(core::time_point now, const server_slots* reserved);
    /** @returns the open server with the fewest occupied slots, or null: it probably becomes idle first. */
    [[nodiscard]] server_slots* pick_for_solitary(core::time_point now);

    [[nodiscard]] server_slots* find(const core::server_id& server);
    [[nodiscard]] const std::map<core::server_id, server_slots>& all() const { return servers_; }
    [[nodiscard]] std::map<core::server_id, server_slots>& all() { return servers_; }

    [[nodiscard]] bool any_open(core::time_point now) const;
    /** @returns the configured slots, whatever the state of their servers. */
    [[nodiscard]] std::uint32_t slots() const;
    /** @returns the slots of open servers that this owner may use. */
    [[nodiscard]] std::uint32_t usable(core::time_point now) const;
    [[nodiscard]] std::uint32_t running() const;
    /** @returns the runs that may start now. */
    [[nodiscard]] std::uint32_t free(core::time_point now) const;
    [[nodiscard]] std::vector<core::exchange_id> overdue(core::time_point now) const;

private:
    void apply_shares();

    std::map<core::server_id, server_slots> servers_;
    core::duration max_run_{std::chrono::seconds{30}};
    std::uint32_t candidates_ = 1;
    bool present_owner_ = true;
};

} // namespace knapweed::decision
