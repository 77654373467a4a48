#pragma once

#include "state/shift_limiter.h"

#include <map>

namespace knapweed::steering {

/** Lets the requests that gain most from the near servers have them, without changing how many go to each
   region.

    The plan gives each request of a service a region. Of two requests, one that is in time wherever it runs,
   or late wherever it runs, cedes its place in the own region, and one that is in time only near takes that
   place later. The number of ceded places is limited, so the regions keep the numbers of requests that the
   plan gives them.
*/
class region_exchange {
public:
    /** @param planned region by the plan. @param own region of this instance. @param far another region with
       room, the one that most requests of the plan go to; empty for none.
        @param gain how much more likely the request is in time when it runs near, per second of a slot.
        @returns the region of the request. */
    [[nodiscard]] core::region_id choose(const core::region_id& planned, const core::region_id& own,
                                         const core::region_id& far, double gain);

private:
    std::map<core::region_id, int>
        ceded_; ///< places in the own region that nobody has taken yet, by other region
    double mean_gain_ = 0;
};

} // namespace knapweed::steering
