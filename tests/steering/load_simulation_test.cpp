#include "load_simulation.h"

#include <catch2/catch.hpp>

using namespace knapweed::test;

namespace {

double credit_of(const knapweed::experiment::fleet_report& report)
{
    constexpr double late_worth = 0.23 / 1.2;
    return report.all.credit(late_worth);
}

} // namespace

// Guards against choosing servers without regard to their cached objects: of the 570 requests per second, the
// servers can run 300 when they fetch each object, and 1,000 when they have cached them. The bound is the
// minimum that the users state for stock reads on days of high load.
TEST_CASE(
    "stock reads at 1.9 times the capacity without cached objects earn the minimum that the users state")
{
    load_scenario scenario;
    const auto by_object = simulate_load(scenario);
    scenario.object_affinity = false;
    const auto by_load_only = simulate_load(scenario);
    INFO("by object " << credit_of(by_object) << ", refused "
                      << by_object.all.refused / by_object.all.requests << "; by load only "
                      << credit_of(by_load_only) << ", refused "
                      << by_load_only.all.refused / by_load_only.all.requests);
    REQUIRE(credit_of(by_object) >= 0.26);
    REQUIRE(credit_of(by_object) >= credit_of(by_load_only));
    REQUIRE(by_object.all.refused <= by_load_only.all.refused);
}

// Guards against losing requests on days of low load: the users' minimum for stock reads is 0.38 then.
TEST_CASE("stock reads at low load earn the minimum that the users state and are rarely refused")
{
    load_scenario scenario;
    scenario.requests_per_second = 243;
    const auto low_load = simulate_load(scenario);
    INFO("credit " << credit_of(low_load) << ", refused " << low_load.all.refused / low_load.all.requests);
    REQUIRE(credit_of(low_load) >= 0.38);
    REQUIRE(low_load.all.refused <= 0.05 * low_load.all.requests);
}

// Guards against estimates and ties that fill caches badly when a large installation starts: a region with a
// tenth of the servers has callers for 1.5 times what its servers run when they fetch each object, and all
// instances start without memory, twice. The bound is the minimum that the users state for this kind of
// request under high load.
TEST_CASE("a region with few servers earns the stated minimum when all instances start under high load")
{
    const auto report = simulate_short_region();
    const auto& short_region = report.by_region.at("short");
    constexpr double late_worth = 0.12 / 1.4;
    INFO("credit " << short_region.credit(late_worth) << ", all " << report.all.credit(late_worth)
                   << ", rejected by servers " << report.rejected / report.arrivals);
    REQUIRE(short_region.credit(late_worth) >= 0.28);
    REQUIRE(report.rejected <= 0.02 * report.arrivals);
}
