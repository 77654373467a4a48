#pragma once

#include "steering/store_reader_role.h"

#include <optional>
#include <unordered_map>

namespace knapweed::steering {

/** Another instance from which a copy of a table can be taken. */
struct copy_source {
    core::instance_id instance;
    std::string address; ///< ip:port where other instances connect
};

/** Decides when an instance takes a table from another instance, and from which one.

    The readers of the store announce each change. An instance that misses it takes it from any instance of
   its region that has it, chosen at random, so that those that have it share the work as they become more.
   Between regions only readers do so, since a change is soon in the region then. What the store has to send
   therefore grows with the number of regions. An instance goes on to read the store if no other one can serve
   it in time.

    Owned by the steerer and used by its only thread.
*/
class copy_source_selector {
public:
    /** @param peers, @p role and @p time must outlive this object. */
    copy_source_selector(core::region_id region, const peer_table& peers, const store_reader_role& role,
                         const core::clock& time, std::uint64_t seed);

    /** @returns the instance from which to take the table now, if it's time to do so and there is one. */
    [[nodiscard]] std::optional<copy_source> next(replicated_table table);
    /** @returns whether another instance may still provide what this one has missed: there is no need to read
       it from the store. */
    [[nodiscard]] bool is_expected(replicated_table table) const;

    /** Records that an instance couldn't be reached, or sent nothing that can be used. */
    void record_failure(const core::instance_id& instance);

private:
    struct candidates {
        std::vector<copy_source> in_region;
        std::vector<copy_source> elsewhere;
    };

    /** @returns the instances with the newest copy that is known. */
    [[nodiscard]] candidates find(replicated_table table) const;
    [[nodiscard]] bool has_failed(const core::instance_id& instance) const;

    core::region_id region_;
    const peer_table& peers_;
    const store_reader_role& role_;
    const core::clock& time_;
    core::random_source random_;
    core::duration longest_wait_; ///< for a copy, before the store is read
    std::unordered_map<core::instance_id, core::time_point> failed_at_;
};

} // namespace knapweed::steering
