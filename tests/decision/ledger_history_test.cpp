#include "decision/ledger_differential.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace knapweed::test;

// Guards against requests that run twice, run after a refusal or get the answer of another request, under
// combinations of faults.
TEST_CASE("the guarantees of the ledger hold in random histories of faults")
{
    REQUIRE(run_ledger_differential(1, 4000) == 0);
}

// Guards against a combination of two faults at particular steps that random histories miss.
TEST_CASE("the guarantees of the ledger hold for each fault and pair of faults at each step of a request")
{
    const auto result = run_ledger_fault_combinations();
    std::cout << "ledger: " << result.histories << " histories with faults, the request ran in "
              << result.runs << '\n';
    REQUIRE_THAT(result.violation, Catch::Equals(""));
    REQUIRE(result.runs > result.histories / 4);
}

// Guards against a model that can't fail: it must report a violation for each rule that is broken on purpose.
TEST_CASE("the model reports a violation when a rule is broken on purpose")
{
    const auto broken =
        GENERATE(broken_rule::dispatch_without_acknowledgement, broken_rule::seal_despite_intent,
                 broken_rule::restart_keeps_incarnation, broken_rule::refusal_without_record);
    INFO("rule " << static_cast<int>(broken));
    std::uint64_t seed = 1;
    while (seed <= 4000 && run_ledger_history(seed, broken).empty())
        ++seed;
    REQUIRE(seed <= 4000);
}
