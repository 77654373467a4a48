#include "steering/service_state.h"

#include <algorithm>

namespace knapweed::steering {

namespace {

/** A sample moves the estimate by this part of the difference. */
constexpr int sample_divisor = 24;
/** A sample counts for at most this multiple of the estimate: slow servers are judged one by one. */
constexpr int largest_multiple = 3;
constexpr core::milliseconds shortest_run{1};

} // namespace

void service_state::observe_run_time(core::duration taken)
{
    const auto sample = std::clamp<core::duration>(taken, shortest_run, run_time_ * largest_multiple);
    run_time_ += (sample - run_time_) / sample_divisor;
}

} // namespace knapweed::steering
