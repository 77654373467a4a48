#include "accounts/event_rate.h"

#include <cmath>

namespace knapweed::accounts {

void event_rate::update(core::duration elapsed)
{
    const std::chrono::duration<double> seconds(elapsed);
    const double weight = 1 - std::exp(-seconds / std::chrono::duration<double>(time_constant_));
    per_second_ += weight * (events_ / seconds.count() - per_second_);
    events_ = 0;
}

} // namespace knapweed::accounts
