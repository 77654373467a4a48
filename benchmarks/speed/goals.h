#pragma once

namespace knapweed::bench {

/** Measured values that are compared with the design goals; 0 when the benchmark has not run. */
struct goal_figures {
    double bytes_per_block = 0;
};

[[nodiscard]] goal_figures& goals();

} // namespace knapweed::bench
