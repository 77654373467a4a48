#include "decision/run_estimate.h"

#include <algorithm>
#include <cmath>

namespace knapweed::decision {

namespace {

/** Observed runs that an estimate needs. */
constexpr std::size_t minimum_runs = 8;
/** Weight of a new run in the mean, which thus follows a change within about 100 runs. */
constexpr double mean_gain = 0.02;
/** Factor by which each run reduces the weight of the earlier ones: the histogram covers about 1000 runs. */
constexpr double histogram_decay = 0.999;
/** Lower bound of the first bin: 10 us. Each bin is 2^(1/4) times as wide as the one before, so the last of
   96 starts at about 140 s. */
constexpr double shortest_run_ns = 1e4;
constexpr double bins_per_doubling = 4;

} // namespace

void run_estimate::observe(core::duration run)
{
    const double ns = std::max(static_cast<double>(run.count()), shortest_run_ns);
    ++observed_;
    mean_ns_ += (ns - mean_ns_) * std::max(mean_gain, 1.0 / static_cast<double>(observed_));
    for (auto& bin : bins_)
        bin *= histogram_decay;
    weight_ = weight_ * histogram_decay + 1;
    const auto bin = static_cast<std::size_t>(std::log2(ns / shortest_run_ns) * bins_per_doubling);
    bins_[std::min(bin, number_of_bins - 1)] += 1;
}

bool run_estimate::is_known() const
{
    return observed_ >= minimum_runs;
}

core::duration run_estimate::mean() const
{
    return is_known() ? core::duration{static_cast<core::duration::rep>(mean_ns_)} : core::duration{0};
}

core::duration run_estimate::quantile(double q) const
{
    if (!is_known())
        return core::duration{0};
    double cumulative_weight = 0;
    std::size_t bin = 0;
    while (bin + 1 < number_of_bins && cumulative_weight + bins_[bin] < q * weight_)
        cumulative_weight += bins_[bin++];
    const double fraction =
        bins_[bin] > 0 ? std::clamp((q * weight_ - cumulative_weight) / bins_[bin], 0.0, 1.0) : 0.0;
    const double ns = shortest_run_ns * std::exp2((static_cast<double>(bin) + fraction) / bins_per_doubling);
    return core::duration{static_cast<core::duration::rep>(ns)};
}

} // namespace knapweed::decision
