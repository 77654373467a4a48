#pragma once

#include <benchmark/benchmark.h>
#include <map>

namespace knapweed::bench {

/** Prints benchmark results on the console and, at the end, their ratios to baselines and the design goals.
 */
class goal_reporter : public benchmark::ConsoleReporter {
public:
    void ReportRuns(const std::vector<Run>& runs) override;
    void print_ratios() const;
    void print_goals() const;

private:
    /** @returns processor time per iteration in nanoseconds, or 0 when the benchmark has not run. */
    [[nodiscard]] double time_of(const std::string& name) const;

    std::map<std::string, double> nanoseconds_;
};

} // namespace knapweed::bench
