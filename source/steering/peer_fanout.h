#pragma once

#include "steering/peer_table.h"

namespace knapweed::steering {

/** Receivers of one round of load messages. */
struct load_message_plan {
    std::vector<std::string> own_load;   ///< receivers of this instance's load
    std::vector<std::string> region_sum; ///< receivers of the sums over this instance's region
    bool is_due = false;                 ///< own_load is sent even if it has not changed
};

/** Decides to which instances this instance sends its messages, and how often.

    A few dozen instances form a full mesh. In a larger installation the messages between regions would cost
   more than all others, and with large regions the messages of a full mesh would take most of the processor
   time of a small instance. There, status messages stay within the region, and the hub of each region informs
   the other regions: it sends them its status and the sums of the loads of its region. Within a region of a
   few dozen instances, every instance sends its load to every other one; in a larger region it sends it to
   the hub, which sends the sums back.

    The hub of a region is its live instance with the largest capacity; a hash of the name decides between
   equal ones. While no instance knows it, for instance after a power cut, the estimates rest on the reports
   of the servers.
*/
class peer_fanout {
public:
    /** @param capacity cores that this instance may use. @param peers and @p time must outlive this object.
     */
    peer_fanout(core::instance_id own, core::region_id region, double capacity, const peer_table& peers,
                const core::clock& time);

    /** Call it about every 100 ms. @param leaving a graceful shutdown has begun. */
    void tick(bool leaving);

    /** @returns whether this instance is the hub of its region, and has been for long enough to know the
     * others. */
    [[nodiscard]] bool is_hub() const;
    /** @returns the address of the hub of the region, empty while this instance ranks first or none is known.
     */
    [[nodiscard]] const std::string& hub_address() const noexcept { return hub_address_; }
    /** @returns the receivers of the next status message. */
    [[nodiscard]] std::vector<std::string> status_receivers() const;

    /** @returns the time until the next load message. */
    [[nodiscard]] core::duration load_interval() const;
    /** @param round number of load messages before this one. */
    [[nodiscard]] load_message_plan next_load_message(std::uint64_t round) const;

private:
    using rank = std::pair<double, std::uint64_t>; ///< the instance with the lowest rank is the hub

    [[nodiscard]] static rank rank_of(const core::instance_id& instance, double capacity);
    /** @returns whether the instances of this region send their loads to each other. */
    [[nodiscard]] bool is_region_mesh() const;

    core::instance_id own_;
    core::region_id region_;
    double capacity_;
    const peer_table& peers_;
    const core::clock& time_;
    core::time_point created_;
    std::string hub_address_;                   ///< empty when this instance ranks first
    std::optional<core::time_point> hub_since_; ///< when this instance came to rank first
    bool leaving_ = false;
};

} // namespace knapweed::steering
