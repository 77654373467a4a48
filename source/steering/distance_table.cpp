#include "steering/distance_table.h"

#include <algorithm>

namespace knapweed::steering {

namespace {

/** Round-trip times before the first sample: in a local or metropolitan network, and between regions. */
constexpr core::milliseconds assumed_same_data_centre{1};
constexpr core::milliseconds assumed_same_region{4};
constexpr core::milliseconds assumed_other_region{60};
/** A higher sample raises the estimate by the difference divided by this. A lower sample replaces the
   estimate, since delays can only lengthen a round trip. */
constexpr int raise_divisor = 8;

} // namespace

distance distance_table::to(const network_location& other) const
{
    if (other.data_centre == own_.data_centre)
        return distance::same_data_centre;
    return other.region == own_.region ? distance::same_region : distance::other_region;
}

core::duration distance_table::round_trip(const network_location& other) const
{
    if (const auto found = estimates_.find(other.data_centre); found != estimates_.end())
        return found->second;
    switch (to(other)) {
    case distance::same_data_centre:
        return assumed_same_data_centre;
    case distance::same_region:
        return assumed_same_region;
    case distance::other_region:
        break;
    }
    return assumed_other_region;
}

void distance_table::observe(const network_location& other, core::duration taken)
{
    const auto [entry, inserted] = estimates_.try_emplace(other.data_centre, taken);
    if (inserted)
        return;
    auto& estimate = entry->second;
    estimate = taken < estimate ? taken : estimate + (taken - estimate) / raise_divisor;
}

} // namespace knapweed::steering
