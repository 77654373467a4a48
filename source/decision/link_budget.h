#pragma once

#include "core/core.h"

#include <map>

namespace knapweed::decision {

/** This instance's share of the bandwidth between its region and each other region.

    One token bucket for each remote region, with a capacity of one second's bytes. Answers are charged once
   their size is known, so the level may become negative. A rank is admitted only while the level is above the
   part that is reserved for more urgent ranks: bulk requests may use 60% of the share, standard requests 85%,
   urgent requests all of it.
*/
class link_budget {
public:
    /** @param time must outlive this object. */
    explicit link_budget(const core::clock& time) : time_(time) {}

    /** Sets the share of a link.
        @param bytes_per_second of this instance: the link's rate divided by the instances that use it */
    void configure(const core::region_id& region, double bytes_per_second);

    /** @returns whether a request of that rank may be sent to the region now; true for an unlimited link. */
    [[nodiscard]] bool admits(const core::region_id& region, core::rank rank) const;

    /** Charges bytes that crossed the link.
        @param bytes in the direction that is more loaded. */
    void charge(const core::region_id& region, std::uint64_t bytes);

private:
    struct bucket {
        double rate = 0;  ///< bytes per second; also the capacity in bytes
        double level = 0; ///< bytes at `updated`; negative after more was charged than available
        core::time_point updated;
    };

    [[nodiscard]] double current_level(const bucket& link) const;

    const core::clock& time_;
    std::map<core::region_id, bucket> buckets_;
};

} // namespace knapweed::decision
