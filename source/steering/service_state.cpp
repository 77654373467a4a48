#include "steering/service_state.h"

namespace knapweed::steering {

namespace {

/** A sample moves the estimate by this part of the difference. */
constexpr int sample_divisor = 24;
/** Another instance may have sent the object to a server that counts as unfamiliar here. Its short run says
    little, so short samples of unfamiliar runs move the estimate less. */
constexpr int doubtful_sample_divisor = 96;
/** A sample counts for at most this multiple of the estimate: slow servers are judged one by one. */
constexpr int largest_multiple = 3;
constexpr core::milliseconds shortest_run{1};

} // namespace

void service_state::observe_run_time(core::duration taken, std::optional<bool> familiar)
{
    const auto sample = std::clamp<core::duration>(taken, shortest_run, run_time_ * largest_multiple);
    run_time_ += (sample - run_time_) / sample_divisor;
    if (!familiar)
        return;
    if (*familiar)
        familiar_ += (sample - familiar_) / sample_divisor;
    else
        unfamiliar_ +=
            (sample - unfamiliar_) / (sample < unfamiliar_ ? doubtful_sample_divisor : sample_divisor);
}

} // namespace knapweed::steering
