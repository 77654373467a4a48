#pragma once

#include "samples.h"

namespace knapweed::test {

/** A load on one service, and the fleet that it meets. */
struct load_plan {
    bool object_affinity = true;
    double requests_per_second = 570; ///< of all callers
    core::milliseconds length{20000};
    std::uint64_t seed = 1;
};

struct load_result {
    double asked = 0;
    double in_target = 0;
    double late = 0;
    double refused = 0;

    /** @returns the part of the credit that was earned: 1 in the target, 0.19 late. */
    [[nodiscard]] double credit() const { return (in_target + late * 0.23 / 1.2) / asked; }
};

/** Plays stock reads on a simulated clock: 104 objects, 18 servers of 4 slots in three regions (8, 8, 2) that
   run a request in 240 ms, or in 72 ms when its object is among the last 72 requests; 9 instances that tell
   each other their requests; a target of 200 ms; callers that come back once after a refusal. */
[[nodiscard]] load_result play(const load_plan& plan);

} // namespace knapweed::test
