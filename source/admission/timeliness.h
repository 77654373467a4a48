#pragma once

#include "core/core.h"

namespace knapweed::admission {

/** @returns the probability that a request is answered within its target, from 0 to 1.
    @param run_time expected. @param delay until the run begins, and for the way of the request and its
   answer.
    @param time_to_target until the answer is worth less. */
[[nodiscard]] double chance_in_time(core::duration run_time, core::duration delay,
                                    core::duration time_to_target);

} // namespace knapweed::admission
