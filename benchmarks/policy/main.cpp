#include "policy/simulation.h"

#include <cstdio>
#include <cstdlib>
#include <getopt.h>
#include <map>

namespace {

using namespace knapweed;
using namespace knapweed::measure;

constexpr double standard_floor = 0.15;
constexpr double bulk_floor = 0.05;

using results = std::map<std::string, tally>; ///< of the policy `floors`, by scenario

void print_rows(const std::string& situation, const std::string& name, const tally& figures)
{
    for (const auto rank : core::all_ranks) {
        const auto& rank_figures = figures.ranks[core::index_of(rank)];
        const double offered = static_cast<double>(std::max<std::size_t>(rank_figures.offered, 1));
        std::printf("%-10s %-14s %-8s %8.1f %8.1f %8.1f %7.2f%% %6.1f%% %6.1f%%", situation.c_str(),
                    name.c_str(), std::string{core::name_of(rank)}.c_str(),
                    static_cast<double>(rank_figures.answered) / figures.seconds,
                    rank_figures.latency_quantile(0.5), rank_figures.latency_quantile(0.99),
                    100 * static_cast<double>(rank_figures.refused) / offered, 100 * figures.share(rank),
                    100 * rank_figures.minimum_share);
        if (rank == core::rank::urgent)
            std::printf(" %9.0f %6.3f%% %6.2f%% %6.2f%% %6zu %4zu", figures.wasted_slot_seconds * 1e3,
                        100 * figures.wasted_share(), 100 * figures.idle_share(),
                        100 * figures.use_during_backlog(), figures.preempted, figures.overloads);
        std::printf("\n");
    }
}

void print_goal(const char* goal, double target, bool at_most, double figure)
{
    const bool met = at_most ? figure <= target : figure >= target;
    std::printf("goal %-58s target %s %.4f  figure %.4f  %s\n", goal, at_most ? "<=" : ">=", target, figure,
                met ? "met" : "MISSED");
}

void print_goals(const results& floors_results)
{
    const auto urgent_p99 = [&](const char* name) {
        return floors_results.at(name).ranks[0].latency_quantile(0.99);
    };
    print_goal("urgent p99 in a bulk flood x10 / calm", 1.2, true,
               urgent_p99("bulk_x10") / urgent_p99("calm"));
    double standard = 1;
    double bulk = 1;
    double wasted = 0;
    double slot_use = 1;
    std::size_t overloads = 0;
    for (const auto& [name, figures] : floors_results) {
        if (name.starts_with("urgent")) {
            standard = std::min(standard, figures.ranks[1].minimum_share);
            bulk = std::min(bulk, figures.ranks[2].minimum_share);
        }
        wasted = std::max(wasted, figures.wasted_share());
        slot_use = std::min(slot_use, figures.use_during_backlog());
        overloads += figures.overloads;
    }
    print_goal("least standard share of 10 s in urgent floods", standard_floor, false, standard);
    print_goal("least bulk share of 10 s in urgent floods", bulk_floor, false, bulk);
    print_goal("wasted slot time, worst scenario", 0.01, true, wasted);
    print_goal("slots in use while a queue holds work, worst scenario", 0.95, false, slot_use);
    print_goal("requests beyond a server's slots", 0, true, static_cast<double>(overloads));
}

int measure_firm(const firm& measured_firm, std::uint64_t seed)
{
    std::printf("firm %s, seed %llu\n", measured_firm.name.c_str(), static_cast<unsigned long long>(seed));
    std::printf("%-10s %-14s %-8s %8s %8s %8s %8s %7s %7s %9s %7s %7s %7s %6s %4s\n", "scenario", "policy",
                "rank", "good/s", "p50_ms", "p99_ms", "refused", "share", "least", "waste_ms", "waste",
                "idle", "in_use", "preem", "over");
    results floors_results;
    for (const auto& situation : all_scenarios(measured_firm)) {
        for (const auto kind :
             {policy::fifo, policy::strict_priority, policy::floors, policy::floors_preempting}) {
            const auto figures = simulation{measured_firm, situation, kind, seed}.run();
            print_rows(situation.name, measure::name_of(kind), figures);
            if (kind == policy::floors)
                floors_results.emplace(situation.name, figures);
        }
    }
    print_goals(floors_results);
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    std::string name = "kaca";
    std::uint64_t seed = 1;
    const option options[] = {{"firm", required_argument, nullptr, 'f'},
                              {"seed", required_argument, nullptr, 's'},
                              {nullptr, 0, nullptr, 0}};
    for (int option_code = 0; (option_code = getopt_long(argc, argv, "", options, nullptr)) != -1;) {
        if (option_code == 'f')
            name = optarg;
        else if (option_code == 's')
            seed = std::strtoull(optarg, nullptr, 10);
        else
            return EXIT_FAILURE;
    }
    const auto measured_firm = find_firm(name);
    if (!measured_firm) {
        std::fprintf(stderr, "unknown firm '%s': use kaca or kitami\n", name.c_str());
        return EXIT_FAILURE;
    }
    return measure_firm(*measured_firm, seed);
}
