#pragma once

#include "core/core.h"

#include <cstddef>

namespace knapweed::decision {

/** State of a pool from which the queueing time of a new request is estimated. */
struct wait_inputs {
    core::rank rank = core::rank::standard;
    /** Queued requests; of the request's own rank, only those with an earlier deadline. */
    core::per_rank<std::size_t> queued_before{};
    core::per_rank<double> share{}; ///< of the slot time used recently
    core::per_rank<double> floor{}; ///< share of slot time that the rank gets at least while it has requests
    core::duration mean_run{0};     ///< 0 while unknown
    std::size_t slots = 0;          ///< usable slots
    std::size_t free = 0;           ///< runs that may start now
};

/** @returns the estimated time that a new request waits in the queue; 0 when a slot is free for it. */
[[nodiscard]] core::duration estimate_wait(const wait_inputs& inputs);

} // namespace knapweed::decision
