#include "played_load.h"

#include <catch2/catch.hpp>

using namespace knapweed::test;

// Guards against placing requests without regard to what servers have at hand: servers that fetch each object
// can run 300 requests a second of the 570 asked for, servers that have them at hand 1,000. The bound is the
// floor that the users state for stock reads on their days of high load.
TEST_CASE("stock reads at 1.9 times the servers' fetching capacity earn their stated floor")
{
    load_plan plan;
    const auto by_object = play(plan);
    plan.object_affinity = false;
    const auto by_load_only = play(plan);
    INFO("by object " << by_object.credit() << ", refused " << by_object.refused / by_object.asked
                      << "; by load only " << by_load_only.credit() << ", refused "
                      << by_load_only.refused / by_load_only.asked);
    REQUIRE(by_object.credit() >= 0.26);
    REQUIRE(by_object.credit() >= by_load_only.credit());
    REQUIRE(by_object.refused <= by_load_only.refused);
}

// Guards against losing requests on a calm day: the users' floor for stock reads there is 0.38.
TEST_CASE("stock reads on a calm day earn their stated floor and are hardly refused")
{
    load_plan plan;
    plan.requests_per_second = 243;
    const auto calm = play(plan);
    INFO("credit " << calm.credit() << ", refused " << calm.refused / calm.asked);
    REQUIRE(calm.credit() >= 0.38);
    REQUIRE(calm.refused <= 0.05 * calm.asked);
}
