#include "steering/arrival_rate.h"

#include <cmath>

namespace knapweed::steering {

namespace {

/** Time constant of the mean: long enough to smooth a few arrivals per second, and short compared with the
   time in which demand rises or falls. */
constexpr std::chrono::duration<double> rate_decay{1.5};

} // namespace

double arrival_rate::decayed_rate() const
{
    const std::chrono::duration<double> age = time_.now() - updated_;
    return rate_ * std::exp(-age.count() / rate_decay.count());
}

void arrival_rate::record_arrival()
{
    rate_ = decayed_rate() + 1 / rate_decay.count();
    updated_ = time_.now();
}

double arrival_rate::per_second() const
{
    return decayed_rate();
}

} // namespace knapweed::steering
