#pragma once

#include "core/core.h"

#include <array>
#include <cstddef>

namespace knapweed::decision {

/** Run times observed by a pool: an exponentially weighted mean, and quantiles from a decaying histogram. */
class run_estimate {
public:
    /** Adds the duration of a run that was answered. */
    void observe(core::duration run);

    /** @returns whether enough runs were observed for an estimate. */
    [[nodiscard]] bool is_known() const;

    /** @returns the mean run time; 0 until `is_known`. */
    [[nodiscard]] core::duration mean() const;

    /** @returns a run time that a share @p q of the runs does not exceed; 0 until `is_known`. */
    [[nodiscard]] core::duration quantile(double q) const;

private:
    static constexpr std::size_t number_of_bins = 96;

    std::array<double, number_of_bins> bins_{};
    double weight_ = 0;
    double mean_ns_ = 0;
    std::size_t observed_ = 0;
};

} // namespace knapweed::decision
