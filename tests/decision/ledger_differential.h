#pragma once

#include "decision/ledger_model.h"

#include <cstdint>

namespace knapweed::test {

/** Runs one random history of requests and faults.
    @returns a description of the violation, or an empty string when there is none */
[[nodiscard]] std::string run_ledger_history(std::uint64_t seed, broken_rule broken = broken_rule::none);

/** Runs random histories with consecutive seeds, starting at @p seed, and prints the first violation.
    @returns 0 when there was no violation, else 1 */
int run_ledger_differential(std::uint64_t seed, std::uint64_t count);

/** The result of all histories with injected faults. */
struct fault_combinations {
    std::size_t histories = 0; ///< number run: without a fault, with each fault at each step, with each pair
    std::size_t runs = 0;      ///< number of histories in which the request ran
    std::string violation;     ///< the first violation, with the faults of its history
};

/** Runs one request with every fault, and every pair of faults, injected at every step. */
[[nodiscard]] fault_combinations run_ledger_fault_combinations(broken_rule broken = broken_rule::none);

} // namespace knapweed::test
