#include "speed/goal_reporter.h"

#include "speed/goals.h"

#include <cstdio>
#include <utility>

namespace knapweed::bench {

namespace {

constexpr double goal_look_ups_per_second = 94'000;
constexpr double goal_bytes_per_block = 16;

/** Families of benchmarks, each with its baseline: a family at the same sizes, or one benchmark with given
 * sizes. */
const std::vector<std::pair<std::string, std::string>> comparisons{
    {"block_table_find", "block_binary_search"},
    {"directory_look_up", "map_look_up/10/4"},
    {"empty_event", "empty_event/10/4"},
    {"node_look_up", "map_look_up/10/4"},
    {"decision_idempotent", "empty_event/10/4"},
    {"decision_with_witness", "empty_event/10/4"},
    {"tick_idle", "empty_event/10/4"},
    {"heartbeat_handle", "empty_event/10/4"},
    {"heartbeat_make", "empty_event/10/4"},
    {"heartbeat_json", "empty_event/10/4"},
    {"credit_refresh", "empty_event/10/4"},
    {"configuration_push", "configuration_copy"},
    {"configuration_parse", "configuration_copy"}};

/** @returns the name of the family and the sizes, without the options of the run. */
std::string key_of(const benchmark::BenchmarkReporter::Run& run)
{
    return run.run_name.function_name + "/" + run.run_name.args;
}

void print_goal(const char* name, double figure, double goal, bool met)
{
    std::printf("%-44s %14.1f %14.1f  %s\n", name, figure, goal,
                figure == 0 ? "not run"
                : met       ? "met"
                            : "missed");
}

} // namespace

void goal_reporter::ReportRuns(const std::vector<Run>& runs)
{
    for (const auto& run : runs) {
        if (!run.error_occurred && run.iterations > 0) {
            const auto seconds = run.cpu_accumulated_time / static_cast<double>(run.iterations);
            nanoseconds_[key_of(run)] = seconds * 1e9;
        }
    }
    ConsoleReporter::ReportRuns(runs);
}

void goal_reporter::print_ratios() const
{
    std::printf("\nratio of processor time to the baseline of this run\n");
    for (const auto& [family, baseline] : comparisons) {
        for (const auto& [name, time] : nanoseconds_) {
            if (!name.starts_with(family) || name.substr(family.size(), 1) != "/")
                continue;
            const bool is_fixed = baseline.find('/') != std::string::npos;
            const auto baseline_time = time_of(is_fixed ? baseline : baseline + name.substr(family.size()));
            if (baseline_time > 0)
                std::printf("%-36s %12.2f x %s\n", name.c_str(), time / baseline_time, baseline.c_str());
        }
    }
}

void goal_reporter::print_goals() const
{
    std::printf("\n%-44s %14s %14s\n", "goal", "measured", "wanted");
    for (const auto* name : {"directory_look_up/1600/4", "node_look_up/10/4", "node_look_up/1600/4"}) {
        const auto time = time_of(name);
        const double rate = time > 0 ? 1e9 / time : 0;
        print_goal((std::string{name} + ", a second, at least").c_str(), rate, goal_look_ups_per_second,
                   rate >= goal_look_ups_per_second);
    }
    const auto find_time = time_of("block_table_find/780000");
    const double find_rate = find_time > 0 ? 1e9 / find_time : 0;
    print_goal("block_table_find/780000, a second, at least", find_rate, goal_look_ups_per_second,
               find_rate >= goal_look_ups_per_second);
    const double bytes = goals().bytes_per_block;
    print_goal("bytes a client block, at most", bytes, goal_bytes_per_block, bytes <= goal_bytes_per_block);
}

double goal_reporter::time_of(const std::string& name) const
{
    const auto found = nanoseconds_.find(name);
    return found == nanoseconds_.end() ? 0 : found->second;
}

} // namespace knapweed::bench
