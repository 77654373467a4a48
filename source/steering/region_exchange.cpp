#include "steering/region_exchange.h"

namespace knapweed::steering {

namespace {

/** Few, because a place that is ceded and not taken again is a request that moved to another region. */
constexpr int max_ceded = 4;
/** Weight of a request in the mean of the gains. */
constexpr double mean_weight = 0.05;
/** Requests whose gain differs by less than this part of the mean keep their planned region. */
constexpr double min_difference = 0.25;

} // namespace

core::region_id region_exchange::choose(const core::region_id& planned, const core::region_id& own,
                                        const core::region_id& far, double gain)
{
    mean_gain_ += mean_weight * (gain - mean_gain_);
    const double difference = mean_gain_ * min_difference;
    if (planned == own) {
        auto& ceded = ceded_[far];
        if (gain >= mean_gain_ - difference || far.empty() || ceded >= max_ceded)
            return planned;
        ++ceded;
        return far;
    }
    const auto ceded = ceded_.find(planned);
    if (gain <= mean_gain_ + difference || ceded == ceded_.end() || ceded->second == 0)
        return planned;
    --ceded->second;
    return own;
}

} // namespace knapweed::steering
