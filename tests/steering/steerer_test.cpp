#include "samples.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using namespace knapweed::steering;
using core::milliseconds;

namespace {

bool is_refused(const next_step& step, core::refusal_reason reason)
{
    const auto* refused = std::get_if<refuse_step>(&step);
    return refused != nullptr && refused->reason == reason;
}

traffic_policy non_idempotent_policy()
{
    auto policy = test::sample_policy();
    policy.routes.front().idempotent = false;
    return policy;
}

} // namespace

// Guards against 404 for a route that a newer configuration has: an instance without a configuration must not
// classify the path as unknown.
TEST_CASE(
    "a request is refused without a configuration, and refused without Retry-After when no route matches")
{
    test::steerer_fixture fixture;
    request_plan plan;
    REQUIRE(is_refused(fixture.begin(plan), core::refusal_reason::no_configuration));
    REQUIRE(fixture.steerer.apply(test::sample_policy()));
    request_plan unknown;
    const auto step = fixture.steerer.begin({"shop.example", "/other/1", 0, fixture.time.now(), {}}, unknown);
    REQUIRE(is_refused(step, core::refusal_reason::unknown_path));
    REQUIRE(std::get<refuse_step>(step).retry_after == core::duration::zero());
}

// Guards against a request that runs twice, and against reporting a request as not run that may have run.
TEST_CASE("a non-idempotent request that may have run is neither sent again nor refused")
{
    for (const auto outcome :
         {attempt_outcome::connection_lost, attempt_outcome::answer_invalid, attempt_outcome::timed_out}) {
        test::steerer_fixture fixture;
        REQUIRE(fixture.steerer.apply(non_idempotent_policy()));
        request_plan plan;
        const auto step = fixture.begin(plan);
        REQUIRE(std::holds_alternative<fail_step>(fixture.end(plan, step, outcome)));
    }
}

// Guards against refusing a request although another server could run it.
TEST_CASE("a request that was certainly not run goes to another server, even if it is non-idempotent")
{
    for (const auto outcome :
         {attempt_outcome::not_connected, attempt_outcome::not_run, attempt_outcome::wrong_server}) {
        test::steerer_fixture fixture;
        REQUIRE(fixture.steerer.apply(non_idempotent_policy()));
        request_plan plan;
        const auto first = fixture.begin(plan);
        const auto second = fixture.end(plan, first, outcome);
        REQUIRE(std::holds_alternative<send_step>(second));
        REQUIRE(std::get<send_step>(second).server != std::get<send_step>(first).server);
        const auto last = fixture.end(plan, second, attempt_outcome::not_run);
        REQUIRE(std::holds_alternative<refuse_step>(outcome == attempt_outcome::not_connected
                                                        ? fixture.end(plan, last, attempt_outcome::not_run)
                                                        : last));
    }
}

// Guards against 503 for an idempotent request of which one attempt may have run.
TEST_CASE("an idempotent request that may have run ends as unknown, not as refused")
{
    test::steerer_fixture fixture(2);
    REQUIRE(fixture.steerer.apply(test::sample_policy()));
    request_plan plan;
    const auto first = fixture.begin(plan);
    const auto second = fixture.end(plan, first, attempt_outcome::connection_lost);
    REQUIRE(std::holds_alternative<send_step>(second));
    REQUIRE(std::holds_alternative<fail_step>(fixture.end(plan, second, attempt_outcome::not_run)));
}

// Guards against trying a request at more servers than its route allows.
TEST_CASE("a request is sent to no more servers than its route allows")
{
    test::steerer_fixture fixture(8);
    auto policy = test::sample_policy();
    policy.routes.front().max_attempts = 1;
    REQUIRE(fixture.steerer.apply(policy));
    request_plan plan;
    const auto step = fixture.begin(plan);
    REQUIRE(
        is_refused(fixture.end(plan, step, attempt_outcome::not_run), core::refusal_reason::server_refused));
}

// Guards against a retry storm: ten instances together must stay below a fifth of the requests plus 60.
TEST_CASE("retries of one instance stay below its share of the common budget")
{
    test::steerer_fixture fixture(8);
    REQUIRE(fixture.steerer.apply(test::sample_policy()));
    int retries = 0;
    constexpr int requests = 400;
    for (int i = 0; i < requests; ++i) {
        request_plan plan;
        auto step = fixture.begin(plan);
        REQUIRE(std::holds_alternative<send_step>(step));
        step = fixture.end(plan, step, attempt_outcome::connection_lost);
        if (std::holds_alternative<send_step>(step)) {
            ++retries;
            (void)fixture.end(plan, step, attempt_outcome::answered);
        }
        fixture.time.advance(milliseconds(400));
    }
    REQUIRE(retries > 0);
    REQUIRE(retries <= requests * 0.2 + 60 / 10.0);
}

// Guards against returning a failure to the caller when another server might answer the request.
TEST_CASE(
    "a server's failure is returned to the caller when the request must not run again, and retried otherwise")
{
    test::steerer_fixture fixture;
    REQUIRE(fixture.steerer.apply(non_idempotent_policy()));
    request_plan plan;
    const auto step = fixture.begin(plan);
    REQUIRE(std::holds_alternative<deliver_step>(fixture.end(plan, step, attempt_outcome::server_failed)));
    test::steerer_fixture idempotent;
    REQUIRE(idempotent.steerer.apply(test::sample_policy()));
    request_plan idempotent_plan;
    const auto first = idempotent.begin(idempotent_plan);
    REQUIRE(std::holds_alternative<send_step>(
        idempotent.end(idempotent_plan, first, attempt_outcome::server_failed)));
}

// Guards against sending a request to a region that its route does not allow.
TEST_CASE("a request stays in the regions that its route allows")
{
    test::steerer_fixture fixture;
    auto policy = test::sample_policy();
    policy.routes.front().allowed_regions = {test::far_region};
    REQUIRE(fixture.steerer.apply(policy));
    request_plan plan;
    REQUIRE(is_refused(fixture.begin(plan), core::refusal_reason::no_backend_server));
    fixture.steerer.servers().put(test::sample_server("f0", "far-a"));
    request_plan allowed;
    const auto step = fixture.begin(allowed);
    REQUIRE(std::get<send_step>(step).server->region() == test::far_region);
}

// Guards against a time limit that is extended: the server must not get more time than the request has left.
TEST_CASE("the time limit of a request is the shorter one of the caller's and the route's")
{
    test::steerer_fixture fixture;
    REQUIRE(fixture.steerer.apply(test::sample_policy()));
    request_plan plan;
    auto step = fixture.begin(plan, milliseconds(1200));
    REQUIRE(std::get<send_step>(step).answer_by == fixture.time.now() + milliseconds(800));
    request_plan shorter_plan;
    step = fixture.begin(shorter_plan, milliseconds(700));
    REQUIRE(std::get<send_step>(step).answer_by == fixture.time.now() + milliseconds(700));
}

// Guards against more connections to a server than it accepts from all instances together.
TEST_CASE("each instance opens an equal share of the connections that a server accepts")
{
    test::steerer_fixture fixture;
    auto policy = test::sample_policy();
    policy.services[test::orders].max_connections = 30;
    REQUIRE(fixture.steerer.apply(policy));
    for (int i = 2; i <= 10; ++i) {
        instance_status status;
        status.instance = core::instance_id{"i" + std::to_string(i)};
        status.incarnation = {1};
        fixture.steerer.peers().add_registered(status);
    }
    request_plan plan;
    const auto step = fixture.begin(plan);
    REQUIRE(std::get<send_step>(step).connection_limit == 3);
}

// Guards against using estimates from before the process stalled: servers may have restarted meanwhile.
TEST_CASE("after the process has stalled, every server counts as cold for a while")
{
    test::steerer_fixture fixture;
    REQUIRE(fixture.steerer.apply(test::sample_policy()));
    fixture.time.advance(milliseconds(100));
    REQUIRE(fixture.steerer.tick() == core::duration::zero());
    fixture.time.advance(milliseconds(4000));
    REQUIRE(fixture.steerer.tick() >= milliseconds(4000));
    REQUIRE(fixture.steerer.servers().find(core::server_id{"s0"})->cold_start().is_cold());
}

// Guards against a final refusal by an instance that has not received the configuration with the route yet.
TEST_CASE("an unknown path is refused for good only with the newest configuration that any instance knows")
{
    test::steerer_fixture fixture;
    REQUIRE(fixture.steerer.apply(test::sample_policy()));
    fixture.steerer.store_role().set_table_version(replicated_table::operators, 5, 5);
    const auto refusal_of_new_path = [&fixture] {
        request_plan plan;
        const request_facts facts{"shop.example", "/new/1", 0, fixture.time.now(), core::milliseconds(1200)};
        return std::get<refuse_step>(fixture.steerer.begin(facts, plan));
    };
    REQUIRE(refusal_of_new_path().reason == core::refusal_reason::unknown_path);

    instance_status peer;
    peer.instance = core::instance_id{"i2"};
    peer.location = test::sample_location();
    peer.incarnation = {1};
    peer.sequence = 1;
    peer.store.newest_change.at(index_of(replicated_table::operators)) = 6;
    fixture.steerer.peers().update(peer);
    (void)fixture.steerer.tick();
    REQUIRE(refusal_of_new_path().reason == core::refusal_reason::configuration_outdated);
    REQUIRE(refusal_of_new_path().retry_after > core::duration::zero());

    peer.sequence = 2;
    peer.store.newest_change.at(index_of(replicated_table::operators)) = 9;
    fixture.steerer.peers().update(peer);
    (void)fixture.steerer.tick();
    fixture.steerer.store_role().set_table_version(replicated_table::operators, 6, 6);
    REQUIRE(refusal_of_new_path().reason == core::refusal_reason::configuration_outdated);
    fixture.steerer.store_role().set_table_version(replicated_table::operators, 9, 9);
    REQUIRE(refusal_of_new_path().reason == core::refusal_reason::unknown_path);
}

// Guards against an older configuration that takes effect, and against one that never does because its number
// was given out again for another content.
TEST_CASE("a configuration is superseded by a higher version, or by other content of the same version")
{
    test::steerer_fixture fixture;
    auto policy = test::sample_policy(12);
    policy.content_hash = 1;
    REQUIRE(fixture.steerer.apply(policy));
    REQUIRE_FALSE(fixture.steerer.apply(policy));
    auto older = test::sample_policy(9);
    older.content_hash = 2;
    REQUIRE_FALSE(fixture.steerer.apply(older));
    policy.content_hash = 3;
    REQUIRE(fixture.steerer.apply(policy));
    REQUIRE(fixture.steerer.apply(test::sample_policy(16)));
}
