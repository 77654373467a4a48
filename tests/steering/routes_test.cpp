#include "samples.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using namespace knapweed::steering;

// Guards against a request that matches a shorter prefix, or a route of another host.
TEST_CASE("the longest prefix of the host selects the route")
{
    auto policy = test::sample_policy();
    auto longer = policy.routes.front();
    longer.name = "r-special";
    longer.prefix = "/orders/special/";
    auto other = policy.routes.front();
    other.name = "r-other";
    other.host = "other.example";
    policy.routes.push_back(longer);
    policy.routes.push_back(other);
    const route_table table(std::make_shared<const traffic_policy>(policy));

    REQUIRE(table.find("shop.example", "/orders/1")->name == "r-orders");
    REQUIRE(table.find("shop.example", "/orders/special/1")->name == "r-special");
    REQUIRE(table.find("SHOP.example:8080", "/orders/1")->name == "r-orders");
    REQUIRE(table.find("other.example", "/orders/special/1")->name == "r-other");
    REQUIRE(table.find("shop.example", "/orders") == nullptr);
    REQUIRE(table.find("unknown.example", "/orders/1") == nullptr);
}

// Guards against shares that hold only over a long time: operators check short intervals.
TEST_CASE("a route with several services keeps their proportions in every sequence of requests")
{
    auto policy = test::sample_policy();
    auto& route = policy.routes.front();
    route.shares = {{core::service_id{"a"}, 90}, {core::service_id{"b"}, 10}, {core::service_id{"c"}, 0}};
    share_selector selector;
    int to_b = 0;
    for (int i = 1; i <= 200; ++i) {
        const auto* service = selector.next(route);
        REQUIRE(service->str() != "c");
        to_b += service->str() == "b" ? 1 : 0;
        REQUIRE(std::abs(to_b - i / 10.0) <= 1);
    }
    route.shares = {{core::service_id{"a"}, 0}, {core::service_id{"b"}, 0}};
    REQUIRE(selector.next(route) == nullptr);
}

// Guards against a return to an older configuration, which may arrive late.
TEST_CASE("a configuration replaces only an older one")
{
    test::steerer_fixture fixture;
    REQUIRE(fixture.steerer.apply(test::sample_policy(7)));
    REQUIRE_FALSE(fixture.steerer.apply(test::sample_policy(6)));
    REQUIRE_FALSE(fixture.steerer.apply(test::sample_policy(7)));
    REQUIRE(fixture.steerer.policy()->version == 7);
}
