#include "samples.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using namespace knapweed::steering;

namespace {

accounts::client_account make_account(const std::string& name, const std::string& key,
                                      std::vector<core::region_id> regions = {})
{
    accounts::client_account account;
    account.id = core::account_id{name};
    account.api_keys = {key};
    account.allowed_regions = std::move(regions);
    return account;
}

traffic_policy policy_with(std::vector<accounts::client_account> accounts, std::uint64_t version = 1)
{
    auto policy = test::sample_policy(version);
    policy.accounts = std::get<accounts::account_table>(accounts::account_table::make(std::move(accounts)));
    return policy;
}

next_step begin(test::steerer_fixture& fixture, request_plan& plan, std::string_view key)
{
    request_facts facts{"shop.example", "/orders/1", 0, fixture.time.now(), core::milliseconds(1200)};
    facts.api_key = key;
    return fixture.steerer.begin(facts, plan);
}

core::refusal_reason refusal_of(const next_step& step)
{
    return std::get<refuse_step>(step).reason;
}

} // namespace

// Guards against requests that run without a valid key.
TEST_CASE("with accounts in the configuration only requests with a known key run")
{
    test::steerer_fixture fixture;
    REQUIRE(fixture.steerer.apply(policy_with({make_account("a", "k")})));
    for (const auto* key : {"", "other"}) {
        request_plan plan;
        REQUIRE(refusal_of(begin(fixture, plan, key)) == core::refusal_reason::unknown_api_key);
    }
    request_plan plan;
    REQUIRE(std::holds_alternative<send_step>(begin(fixture, plan, "k")));
    REQUIRE(plan.account->id.str() == "a");
}

// Guards against keys of an older configuration that stay in use, and new ones that are refused.
TEST_CASE("keys are valid from the version that adds them to the one that removes them")
{
    test::steerer_fixture fixture;
    REQUIRE(fixture.steerer.apply(policy_with({make_account("a", "old")}, 1)));
    REQUIRE(fixture.steerer.apply(policy_with({make_account("a", "new")}, 2)));
    request_plan refused;
    REQUIRE(refusal_of(begin(fixture, refused, "old")) == core::refusal_reason::unknown_api_key);
    request_plan sent;
    REQUIRE(std::holds_alternative<send_step>(begin(fixture, sent, "new")));
    REQUIRE(fixture.steerer.apply(test::sample_policy(3)));
    request_plan without;
    REQUIRE(std::holds_alternative<send_step>(begin(fixture, without, "")));
    REQUIRE(without.account == nullptr);
}

// Guards against an exempt route that asks for a key.
TEST_CASE("a route that is exempt from authentication needs no key")
{
    test::steerer_fixture fixture;
    auto policy = policy_with({make_account("a", "k")});
    policy.routes.front().authentication_exempt = true;
    REQUIRE(fixture.steerer.apply(policy));
    request_plan plan;
    REQUIRE(std::holds_alternative<send_step>(begin(fixture, plan, "")));
    REQUIRE(plan.account == nullptr);
}

// Guards against a request that runs in a region that its account or its route forbids.
TEST_CASE("a request runs only in regions that both its route and its account allow")
{
    test::steerer_fixture fixture(2);
    fixture.steerer.servers().put(test::sample_server("remote", "far-a"));
    auto policy = policy_with({make_account("far", "f", {test::far_region}), make_account("any", "a")});
    REQUIRE(fixture.steerer.apply(policy));
    for (int i = 0; i < 20; ++i) {
        request_plan plan;
        const auto step = begin(fixture, plan, "f");
        if (const auto* send = std::get_if<send_step>(&step))
            REQUIRE(send->server->region() == test::far_region);
    }
    policy.version = 2;
    policy.routes.front().allowed_regions = {test::near_region};
    REQUIRE(fixture.steerer.apply(policy));
    request_plan in_neither;
    REQUIRE(refusal_of(begin(fixture, in_neither, "f")) == core::refusal_reason::no_backend_server);
    request_plan near;
    REQUIRE(std::get<send_step>(begin(fixture, near, "a")).server->region() == test::near_region);
}

// Guards against an account whose urgency is ignored.
TEST_CASE("the urgency of an account goes before that of the route")
{
    test::steerer_fixture fixture;
    auto urgent = make_account("urgent", "u");
    urgent.urgency = 0;
    REQUIRE(fixture.steerer.apply(policy_with({urgent, make_account("plain", "p")})));
    request_plan plan;
    (void)begin(fixture, plan, "u");
    REQUIRE(plan.urgency() == 0);
    request_plan of_route;
    (void)begin(fixture, of_route, "p");
    REQUIRE(of_route.urgency() == 1);
}
