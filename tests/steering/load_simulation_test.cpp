#include "load_simulation.h"

#include <catch2/catch.hpp>

using namespace knapweed::test;

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
    INFO("by object " << by_object.credit() << ", refused " << by_object.refused / by_object.requests
                      << "; by load only " << by_load_only.credit() << ", refused "
                      << by_load_only.refused / by_load_only.requests);
    REQUIRE(by_object.credit() >= 0.26);
    REQUIRE(by_object.credit() >= by_load_only.credit());
    REQUIRE(by_object.refused <= by_load_only.refused);
}

// Guards against losing requests on days of low load: the users' minimum for stock reads is 0.38 then.
TEST_CASE("stock reads at low load earn the minimum that the users state and are rarely refused")
{
    load_scenario scenario;
    scenario.requests_per_second = 243;
    const auto low_load = simulate_load(scenario);
    INFO("credit " << low_load.credit() << ", refused " << low_load.refused / low_load.requests);
    REQUIRE(low_load.credit() >= 0.38);
    REQUIRE(low_load.refused <= 0.05 * low_load.requests);
}
