#include "experiment/fleet_simulation.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <getopt.h>
#include <sstream>

namespace {

using namespace knapweed;
using namespace knapweed::experiment;

constexpr int exit_bad_input = 2;

constexpr const char* usage = R"(usage: knapweed_experiment [--seed S] [--count N] FILE...
Plays the load of described deployments on a simulated clock and prints what callers get.
  -s, --seed S   seed of the first run, 1 by default
  -n, --count N  runs of each deployment, with consecutive seeds; 1 by default
  -h, --help     show this text and exit
)";

struct options {
    std::uint64_t seed = 1;
    std::uint64_t count = 1;
    std::vector<std::string> files;
};

void print_row(const std::string& name, const request_tally& tally, double late_worth)
{
    const double requests = std::max(tally.requests, 1.0);
    std::printf("  %-14s %9.0f %8.3f %8.3f %8.3f %8.3f %8.3f\n", name.c_str(), tally.requests,
                tally.credit(late_worth), tally.in_target / requests, tally.late / requests,
                tally.refused / requests, tally.failed / requests);
}

void print_report(const fleet_report& report, const deployment& description)
{
    const double late_worth = description.service.late_worth;
    std::printf("  %-14s %9s %8s %8s %8s %8s %8s\n", "", "requests", "credit", "in time", "late", "refused",
                "failed");
    print_row("all", report.all, late_worth);
    for (const auto& [region, tally] : report.by_region)
        print_row(region, tally, late_worth);
    for (const auto& [second, tally] : report.by_second)
        print_row("second " + std::to_string(second), tally, late_worth);
    const double arrivals = std::max(report.arrivals, 1.0);
    const std::chrono::duration<double> length = description.length;
    std::printf(
        "  at servers %.0f, rejected %.3f, fetches %.3f, in other regions %.3f; %.0f messages a second\n",
        report.arrivals, report.rejected / arrivals, report.fetches / arrivals,
        report.in_other_region / arrivals, report.messages / length.count());
}

/** @returns whether the file could be read and parsed. */
bool play(const std::string& file, const options& chosen)
{
    std::ifstream input(file);
    std::ostringstream text;
    text << input.rdbuf();
    if (!input) {
        std::fprintf(stderr, "knapweed_experiment: %s: can't be read\n", file.c_str());
        return false;
    }
    const auto parsed = parse_deployment(text.str());
    for (const auto& error : parsed.errors)
        std::fprintf(stderr, "knapweed_experiment: %s: %s\n", file.c_str(), error.c_str());
    if (!parsed.errors.empty())
        return false;
    for (auto seed = chosen.seed; seed < chosen.seed + chosen.count; ++seed) {
        std::printf("%s, seed %llu\n", file.c_str(), static_cast<unsigned long long>(seed));
        print_report(simulate(parsed.description, seed), parsed.description);
    }
    return true;
}

} // namespace

int main(int argc, char** argv)
{
    constexpr option long_options[] = {{"seed", required_argument, nullptr, 's'},
                                       {"count", required_argument, nullptr, 'n'},
                                       {"help", no_argument, nullptr, 'h'},
                                       {nullptr, 0, nullptr, 0}};
    options chosen;
    for (int key = 0; (key = getopt_long(argc, argv, "s:n:h", long_options, nullptr)) != -1;) {
        if (key == 'h') {
            std::fputs(usage, stdout);
            return 0;
        }
        char* end = nullptr;
        const auto number = key == '?' ? 0 : std::strtoull(optarg, &end, 10);
        if (key == '?' || *end != '\0') {
            std::fputs(usage, stderr);
            return exit_bad_input;
        }
        (key == 's' ? chosen.seed : chosen.count) = number;
    }
    chosen.files.assign(argv + optind, argv + argc);
    if (chosen.files.empty()) {
        std::fputs(usage, stderr);
        return exit_bad_input;
    }
    bool played = true;
    for (const auto& file : chosen.files)
        played = play(file, chosen) && played;
    return played ? 0 : exit_bad_input;
}
