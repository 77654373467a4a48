#include "matrix/cell.h"

#include <atomic>
#include <fstream>
#include <getopt.h>
#include <iostream>
#include <thread>

/** The fault matrix: runs every fault at every step of every kind of subject and prints which promises broke.
 */

namespace {

using namespace knapweed::matrix;

constexpr unsigned worker_count = 8;

/** The command line. */
struct options {
    std::uint64_t seed = 1;
    std::string cell;       ///< runs only this cell, with a trace
    std::string known_red;  ///< file of cells whose violations do not fail the run
    bool pairs = false;     ///< runs pairs of faults instead of single ones
    bool quick = false;     ///< runs each cell in one topology variant, in turn, instead of all three
    bool self_test = false; ///< checks that a violation is detected
};

struct finished_cell {
    cell_plan plan;
    cell_result result;
};

/** @returns FAULT/STEP/KIND, with both faults of a pair joined by '+'. */
std::string name_of_cell(const cell_plan& plan)
{
    return plan.first_fault->name + (plan.second_fault == nullptr ? "" : "+" + plan.second_fault->name) +
           "/" + plan.step + "/" + name_of(plan.kind);
}

constexpr std::array all_kinds{
    subject_kind::non_idempotent,   subject_kind::idempotent, subject_kind::configuration_change,
    subject_kind::ownership_change, subject_kind::drain,      subject_kind::stop};

std::vector<cell_plan> single_cells(std::uint64_t seed)
{
    std::vector<cell_plan> plans;
    for (const auto kind : all_kinds) {
        for (const auto& fault : all_faults()) {
            for (const auto& step : steps_of(kind))
                plans.push_back({&fault, nullptr, kind, step, seed});
        }
    }
    return plans;
}

/** Ordered pairs of faults that can affect the same request, at the two steps with the most serious
 * consequences. */
std::vector<cell_plan> pair_cells(std::uint64_t seed)
{
    const std::set<std::string> paired_faults{"owner_dies",         "witness_dies",     "owner_paused",
                                              "pool_owner_dies",    "data_centres_cut", "regions_cut",
                                              "message_duplicated", "server_dies",      "server_hangs",
                                              "store_down",         "bulk_flood"};
    std::vector<cell_plan> plans;
    for (const auto& first : all_faults()) {
        for (const auto& second : all_faults()) {
            if (!paired_faults.contains(first.name) || !paired_faults.contains(second.name))
                continue;
            for (const auto* step : {"intent_recorded", "running"})
                plans.push_back({&first, &second, subject_kind::non_idempotent, step, seed});
        }
    }
    return plans;
}

std::vector<finished_cell> run_all(const std::vector<cell_plan>& plans, bool quick)
{
    std::vector<finished_cell> cells(plans.size());
    std::atomic<std::size_t> next_index{0};
    std::vector<std::jthread> threads;
    for (unsigned worker = 0; worker < worker_count; ++worker) {
        threads.emplace_back([&] {
            for (auto i = next_index++; i < plans.size(); i = next_index++)
                cells[i] = {plans[i],
                            quick ? run_cell(plans[i], static_cast<int>(i % 3)) : run_cell(plans[i])};
        });
    }
    threads.clear();
    return cells;
}

std::string summary_of(const cell_result& result)
{
    if (!result.violations.empty()) {
        std::string names;
        for (const auto& [promise, detail] : result.violations)
            names += (names.empty() ? "" : ",") + promise;
        return names;
    }
    return result.applicable ? "ok" : "n/a";
}

void print_table(const std::vector<finished_cell>& cells)
{
    std::string kind;
    std::string row;
    for (const auto& cell : cells) {
        const auto next_kind = name_of(cell.plan.kind);
        const auto name = name_of_cell(cell.plan);
        const auto next_row = name.substr(0, name.find('/'));
        if (next_kind != kind) {
            kind = next_kind;
            row.clear();
            std::cout << "\n\n" << kind << ":";
            for (const auto& step : steps_of(cell.plan.kind))
                std::cout << ' ' << step;
        }
        if (next_row != row) {
            row = next_row;
            std::cout << "\n  " << row << std::string(row.size() < 24 ? 24 - row.size() : 1, ' ');
        }
        std::cout << ' ' << summary_of(cell.result);
    }
    std::cout << "\n\n";
    std::map<std::string, int> reasons;
    for (const auto& cell : cells) {
        if (!cell.result.applicable)
            ++reasons[cell.plan.step + " of " + name_of(cell.plan.kind) + ": " +
                      cell.result.inapplicable_reason];
    }
    for (const auto& [reason, count] : reasons)
        std::cout << "not applicable: " << reason << " (" << count << " cells)\n";
}

/** @returns the cells named by the lines of the file that start with "matrix FAULT/STEP/KIND". */
std::set<std::string> read_known_red(const std::string& file)
{
    std::set<std::string> cells;
    std::ifstream input{file};
    std::string word;
    for (std::string line; std::getline(input, line);) {
        if (line.rfind("matrix ", 0) == 0)
            cells.insert(line.substr(7, line.find(' ', 7) - 7));
    }
    return cells;
}

int report(const std::vector<finished_cell>& cells, const options& settings)
{
    print_table(cells);
    const auto known_red = read_known_red(settings.known_red);
    std::size_t violation_count = 0;
    std::size_t known_count = 0;
    std::size_t applicable = 0;
    for (const auto& cell : cells) {
        applicable += cell.result.applicable ? 1 : 0;
        if (cell.result.violations.empty())
            continue;
        const auto name = name_of_cell(cell.plan);
        const bool is_known = known_red.contains(name);
        ++violation_count;
        known_count += is_known ? 1 : 0;
        for (const auto& [promise, detail] : cell.result.violations)
            std::cout << (is_known ? "KNOWN RED " : "VIOLATION ") << name << " " << promise << ": " << detail
                      << "\n";
    }
    if (!settings.known_red.empty())
        std::cout << known_count << " of these cells are listed in KNOWN-RED.txt\n";
    std::cout << "cells " << applicable << ", violations " << violation_count << "\n";
    return violation_count > known_count ? 1 : 0;
}

/** Checks that the matrix detects a server that reports each run twice.
    @returns the exit code. */
int self_test(std::uint64_t seed)
{
    cell_plan plan{&all_faults().front(), nullptr, subject_kind::non_idempotent, "running", seed};
    plan.count_runs_twice = true;
    const auto result = run_cell(plan);
    const bool detected = result.violations.contains("at_most_once");
    std::cout << "doubled runs are " << (detected ? "detected" : "NOT detected") << "\n";
    return detected ? 0 : 1;
}

int usage()
{
    std::cerr << "usage: knapweed_matrix [--seed S] [--cell FAULT/STEP[/KIND]] [--pairs] [--quick] "
                 "[--known-red FILE] "
                 "[--self-test]\n";
    return 2;
}

int run(const options& settings)
{
    if (settings.self_test)
        return self_test(settings.seed);
    auto plans = single_cells(settings.seed);
    if (settings.pairs)
        plans = pair_cells(settings.seed);
    if (!settings.cell.empty()) {
        auto all = single_cells(settings.seed);
        const auto pairs = pair_cells(settings.seed);
        all.insert(all.end(), pairs.begin(), pairs.end());
        plans.clear();
        for (auto plan : all) {
            const auto name = name_of_cell(plan);
            if (name != settings.cell && name.rfind(settings.cell + "/", 0) != 0)
                continue;
            plan.verbose = true;
            std::cout << "== " << name << std::endl;
            const auto result = run_cell(plan);
            std::cout << summary_of(result) << "\n";
            for (const auto& [promise, detail] : result.violations)
                std::cout << "  " << promise << ": " << detail << "\n";
            plan.verbose = false;
            plans.push_back(plan);
        }
        if (plans.empty()) {
            std::cerr << "no cell is named " << settings.cell << "\n";
            return 2;
        }
    }
    return report(run_all(plans, settings.quick), settings);
}

} // namespace

int main(int count, char** arguments)
{
    options settings;
    const std::array<option, 7> flags{{{"seed", required_argument, nullptr, 's'},
                                       {"cell", required_argument, nullptr, 'c'},
                                       {"known-red", required_argument, nullptr, 'k'},
                                       {"pairs", no_argument, nullptr, 'p'},
                                       {"quick", no_argument, nullptr, 'q'},
                                       {"self-test", no_argument, nullptr, 't'},
                                       {nullptr, 0, nullptr, 0}}};
    for (int flag = 0; (flag = getopt_long(count, arguments, "", flags.data(), nullptr)) != -1;) {
        switch (flag) {
        case 's':
            settings.seed = std::strtoull(optarg, nullptr, 10);
            break;
        case 'c':
            settings.cell = optarg;
            break;
        case 'k':
            settings.known_red = optarg;
            break;
        case 'p':
            settings.pairs = true;
            break;
        case 'q':
            settings.quick = true;
            break;
        case 't':
            settings.self_test = true;
            break;
        default:
            return usage();
        }
    }
    return optind == count ? run(settings) : usage();
}
