#pragma once

#include "core/clock.h"
#include "core/name_table.h"
#include "core/random_source.h"

namespace knapweed::stand_ins {

/** Probability distribution of run times. */
enum class run_distribution { fixed, exponential, log_normal };

} // namespace knapweed::stand_ins

template <>
struct knapweed::core::names_of<knapweed::stand_ins::run_distribution> {
    static constexpr std::array<std::string_view, 3> table{"fixed", "exponential", "log_normal"};
};

namespace knapweed::stand_ins {

/** Draws a random run time.

    @param sigma is the standard deviation of the logarithm of a log-normal time.
*/
[[nodiscard]] core::duration draw_run_time(core::random_source& random, run_distribution distribution,
                                           core::milliseconds mean, double sigma);

} // namespace knapweed::stand_ins
