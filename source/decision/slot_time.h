#pragma once

#include "core/core.h"

#include <cstddef>
#include <vector>

namespace knapweed::decision {

/** Slot time used by each rank over a sliding window, including the runs in progress. */
class slot_time {
public:
    /** @param window length of the window; it moves in steps of a hundredth of its length. */
    slot_time(core::duration window, core::time_point now);

    /** Records that a run has started; its slot time is counted until `finished`. */
    void started(core::rank rank, core::time_point now);
    void finished(core::rank rank, core::time_point now);

    /** Records slot time of a run whose answer was not received.
        @param run_time duration of the run; it also counts as used. */
    void wasted(core::duration run_time, core::time_point now);

    /** Moves the window to @p now. The queries below return values as of the last call. */
    void advance(core::time_point now);

    /** @returns the rank's share of all slot time in the window; 0 when none was used. */
    [[nodiscard]] double share(core::rank rank) const;
    /** @returns the wasted share of all slot time in the window; 0 when none was used. */
    [[nodiscard]] double wasted_share() const;

    /** @returns slot time used in the window by a rank. */
    [[nodiscard]] core::duration used(core::rank rank) const { return total_.used[core::index_of(rank)]; }
    /** @returns the runs of a rank in progress. */
    [[nodiscard]] std::size_t running(core::rank rank) const { return running_[core::index_of(rank)]; }

    /** @returns slot time wasted since construction. */
    [[nodiscard]] core::duration wasted_since_start() const { return wasted_since_start_; }
    /** @returns slot time used by a rank since construction. */
    [[nodiscard]] core::duration used_since_start(core::rank rank) const
    {
        return used_since_start_[core::index_of(rank)];
    }

private:
    struct rank_sums {
        core::per_rank<core::duration> used{};
        core::duration wasted{0};
    };

    [[nodiscard]] core::duration used_by_all_ranks() const;
    void add_running_time(core::duration elapsed);
    void open_next_bucket();

    core::duration bucket_length_;
    core::time_point counted_until_;
    core::time_point bucket_end_;
    std::size_t current_bucket_ = 0;
    std::vector<rank_sums> buckets_;
    rank_sums total_;
    core::per_rank<std::size_t> running_{};
    core::per_rank<core::duration> used_since_start_{};
    core::duration wasted_since_start_{0};
};

} // namespace knapweed::decision
