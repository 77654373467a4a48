#include "steering/arrival_rate.h"

#include <cmath>

namespace knapweed::steering {

namespace {

/** Time constant: long enough for the noise of a few arrivals a second, short against a wave of demand. */
constexpr std::chrono::duration<double> smoothing{1.5};

} // namespace

double arrival_rate::decayed() const
{
    const std::chrono::duration<double> age = time_.now() - updated_;
    return rate_ * std::exp(-age.count() / smoothing.count());
}

void arrival_rate::count()
{
    rate_ = decayed() + 1 / smoothing.count();
    updated_ = time_.now();
}

double arrival_rate::per_second() const
{
    return decayed();
}

} // namespace knapweed::steering
