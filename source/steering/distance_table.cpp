#include "steering/distance_table.h"

#include <algorithm>

namespace knapweed::steering {

namespace {

/** Round trips before any is measured: of a local network, a metropolitan one and one between regions. */
constexpr core::milliseconds assumed_same_data_centre{1};
constexpr core::milliseconds assumed_same_region{4};
constexpr core::milliseconds assumed_other_region{60};
/** A sample raises the estimate by this part of the difference; a lower sample is taken whole, since delays
   only add to a round trip. */
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
    if (const auto found = learnt_.find(other.data_centre); found != learnt_.end())
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
    const auto [entry, first] = learnt_.try_emplace(other.data_centre, taken);
    if (first)
        return;
    auto& known = entry->second;
    known = taken < known ? taken : known + (taken - known) / raise_divisor;
}

} // namespace knapweed::steering
