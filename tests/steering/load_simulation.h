#pragma once

#include "samples.h"

namespace knapweed::test {

/** The load of one simulation run. */
struct load_scenario {
    bool object_affinity = true;      ///< of the route
    double requests_per_second = 570; ///< of all callers
    core::milliseconds length{20000};
    std::uint64_t seed = 1;
};

/** Number of requests by result. */
struct load_result {
    double requests = 0;  ///< all
    double in_target = 0; ///< answered within the target
    double late = 0;      ///< answered after the target
    double refused = 0;   ///< refused twice

    /** @returns the mean credit of a request: 1 when answered within the target, 0.19 when late, otherwise 0.
     */
    [[nodiscard]] double credit() const { return (in_target + late * 0.23 / 1.2) / requests; }
};

/** Simulates stock reads on a simulated clock: 104 objects; 18 servers of 4 slots in three regions (8, 8, 2),
   which run a request in 240 ms, or in 72 ms when its object is among those of their last 72 requests; 9
   instances that exchange load messages; a target of 200 ms; callers that retry once after a refusal. */
[[nodiscard]] load_result simulate_load(const load_scenario& scenario);

} // namespace knapweed::test
