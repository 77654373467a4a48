#include "samples.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using namespace knapweed::steering;

// Guards against requests that are in time only near and go far, while others that are in time anywhere stay
// near.
TEST_CASE("requests that gain most from near servers get them, and each region keeps its number of requests")
{
    region_exchange exchange;
    int gaining_near = 0;
    int indifferent_near = 0;
    int moved = 0;
    for (int i = 0; i < 1000; ++i) {
        const bool is_gaining = i % 2 == 0;
        const auto& planned = (i / 2) % 2 == 0 ? test::near_region : test::far_region;
        const auto region = exchange.choose(planned, test::near_region, test::far_region, is_gaining ? 2 : 0);
        if (region == test::near_region)
            ++(is_gaining ? gaining_near : indifferent_near);
        moved += (region == test::near_region ? 1 : 0) - (planned == test::near_region ? 1 : 0);
        REQUIRE(std::abs(moved) <= 4);
    }
    CHECK(gaining_near > 450);
    CHECK(indifferent_near < 50);
}

// Guards against a change where all requests gain alike.
TEST_CASE("requests that gain alike keep their planned region")
{
    region_exchange exchange;
    for (int i = 0; i < 100; ++i) {
        const auto& planned = i % 3 == 0 ? test::near_region : test::far_region;
        REQUIRE(exchange.choose(planned, test::near_region, test::far_region, 1.5) == planned);
    }
}
