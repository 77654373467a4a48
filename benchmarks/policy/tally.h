#pragma once

#include "core/core.h"

#include <vector>

namespace knapweed::measure {

/** Results of one simulation. */
struct tally {
    /** Results of one rank. */
    struct rank_tally {
        std::size_t offered = 0;
        std::size_t answered = 0;
        std::size_t refused = 0;
        std::size_t timed_out = 0;
        std::vector<float> latency_ms; ///< of answered requests, measured at the caller
        double slot_seconds = 0;
        double minimum_share = 1; ///< smallest share of slot time in any 10 s at any data centre

        [[nodiscard]] double latency_quantile(double q) const;
    };

    core::per_rank<rank_tally> ranks;
    double seconds = 0;
    double wasted_slot_seconds = 0;
    double backlog_seconds = 0;      ///< time with a request in a queue, summed over data centres
    double backlog_idle_seconds = 0; ///< part of `backlog_seconds` with a free slot
    double backlog_slot_seconds = 0; ///< slots multiplied by the time with a request in a queue
    double backlog_busy_seconds = 0; ///< part of `backlog_slot_seconds` in use
    std::size_t preempted = 0;
    std::size_t overloads = 0; ///< requests that reached a server whose slots were all in use

    [[nodiscard]] double slot_seconds() const;
    /** @returns the share of the used slot time that the rank used. */
    [[nodiscard]] double share(core::rank rank) const;
    [[nodiscard]] double wasted_share() const;
    /** @returns the share of `backlog_seconds` with a free slot. */
    [[nodiscard]] double idle_share() const;
    /** @returns the share of slots in use while a request is in a queue. */
    [[nodiscard]] double use_during_backlog() const;
};

} // namespace knapweed::measure
