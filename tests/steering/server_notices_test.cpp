#include "samples.h"

#include <catch2/catch.hpp>

namespace {

using namespace knapweed;
using namespace knapweed::steering;
using core::milliseconds;

struct notices_fixture {
    core::simulated_clock time;
    server_catalogue servers{time};
    server_notices notices{servers, time, 1};
    std::size_t heard = 0;

    notices_fixture()
    {
        for (const auto* id : {"s0", "s1", "s2"})
            servers.put(test::sample_server(id));
        notices.on_leaving([this](const backend_server&) { ++heard; });
    }

    void answer(const std::string& id, bool leaving)
    {
        attempt_result result;
        result.outcome = attempt_outcome::answered;
        result.leaving = leaving;
        notices.record_answer(*servers.find(core::server_id{id}), result);
    }
    [[nodiscard]] std::size_t usable() const { return servers.usable(test::orders).size(); }
};

} // namespace

// Guards against requests to a server that has said that it leaves.
TEST_CASE("a process that states that it leaves gets nothing until it starts again")
{
    notices_fixture fixture;
    fixture.answer("s0", true);
    REQUIRE(fixture.usable() == 2);
    auto record = test::sample_server("s0");

    SECTION("an answer that doesn't state it doesn't take it back")
    {
        fixture.answer("s0", false);
        REQUIRE(fixture.usable() == 2);
    }
    SECTION("an entry that says ready doesn't take it back")
    {
        fixture.servers.put(record);
        REQUIRE(fixture.usable() == 2);
    }
    SECTION("an entry that was removed and written again doesn't take it back")
    {
        fixture.servers.remove(record.id);
        fixture.servers.put(record);
        REQUIRE(fixture.usable() == 2);
    }
    SECTION("a store that comes back from an older copy doesn't take it back")
    {
        fixture.servers.store_restored();
        fixture.servers.replace_all({record, test::sample_server("s1"), test::sample_server("s2")});
        REQUIRE(fixture.usable() == 2);
    }
    SECTION("a new process is used, also under the same id")
    {
        record.started_unix_ms = 7;
        fixture.servers.put(record);
        REQUIRE(fixture.usable() == 3);
    }
    REQUIRE(fixture.heard == 1);
}

// Guards against requests to a server of which only another instance has heard that it leaves.
TEST_CASE("instances learn from each other which processes leave")
{
    notices_fixture first;
    notices_fixture second;
    notices_fixture third;
    first.answer("s1", true);
    REQUIRE(first.notices.take_news());
    REQUIRE_FALSE(first.notices.take_news());
    second.notices.receive(first.notices.reports(false), true);
    REQUIRE(second.usable() == 2);
    REQUIRE(second.notices.take_news()); // it passes the news on
    REQUIRE(second.notices.reports(false).empty());
    third.notices.receive(second.notices.reports(true), false);
    REQUIRE(third.usable() == 2);
    REQUIRE_FALSE(third.notices.take_news());

    auto restarted = test::sample_server("s1");
    restarted.started_unix_ms = 7;
    third.servers.put(restarted);
    third.notices.receive(first.notices.reports(false), false);
    REQUIRE(third.usable() == 3);

    first.time.advance(milliseconds(6000));
    REQUIRE(first.notices.reports(false).empty());
    REQUIRE(first.notices.all_reports().size() == 1); // for an instance that starts
}

// Guards against requests to a server that has asked this instance for rest.
TEST_CASE("a server gets nothing while it rests, then a trial, and others after the trial")
{
    core::simulated_clock time;
    rest_period rest(time);
    REQUIRE(rest.wait() == core::duration::zero());
    rest.extend_to(time.now() + milliseconds(3000));
    rest.extend_to(time.now() + milliseconds(1000)); // the longer one holds
    REQUIRE(rest.wait() == milliseconds(3000));
    rest.request_ended(); // sent before
    time.advance(milliseconds(2999));
    REQUIRE(rest.wait() == milliseconds(1));
    time.advance(milliseconds(1));
    REQUIRE(rest.wait() == core::duration::zero());
    rest.request_sent();
    REQUIRE(rest.wait() > core::duration::zero());

    SECTION("the server turns the trial away")
    {
        rest.extend_to(time.now() + milliseconds(500));
        REQUIRE(rest.wait() == milliseconds(500));
    }
    SECTION("the trial is answered")
    {
        rest.request_ended();
        rest.request_sent();
        REQUIRE(rest.wait() == core::duration::zero());
    }
    SECTION("the trial has no result")
    {
        time.advance(milliseconds(1000));
        REQUIRE(rest.wait() == core::duration::zero());
    }
}

// Guards against a rest that ends because the server's entry was removed and written again.
TEST_CASE("a process whose entry comes back goes on resting, a new process doesn't")
{
    notices_fixture fixture;
    auto record = test::sample_server("s0");
    attempt_result result;
    result.outcome = attempt_outcome::not_run;
    result.rest = milliseconds(60000);
    fixture.notices.record_answer(*fixture.servers.find(record.id), result);
    fixture.servers.remove(record.id);
    fixture.servers.put(record);
    REQUIRE(fixture.servers.find(record.id)->rest().wait() >= milliseconds(60000));
    record.started_unix_ms = 7;
    fixture.servers.put(record);
    REQUIRE(fixture.servers.find(record.id)->rest().wait() == core::duration::zero());
}

// Guards against callers that wait, or come back too soon, while all servers rest, and against a server that
// counts as failing because it rests.
TEST_CASE("while all servers rest, requests are refused at once with a time to come back")
{
    test::steerer_fixture fixture;
    REQUIRE(fixture.steerer.apply(test::sample_policy()));
    std::set<core::server_id> resting;
    for (int i = 0; i < 20; ++i) {
        request_plan plan;
        auto step = fixture.begin(plan);
        while (const auto* sent = std::get_if<send_step>(&step)) {
            const auto server = sent->server;
            resting.insert(server->record().id);
            attempt_result result;
            result.outcome = attempt_outcome::not_run;
            result.rest = milliseconds(2000);
            step = fixture.steerer.attempt_ended(plan, *server, result);
            REQUIRE(server->failures().failure_share() == 0);
        }
    }
    REQUIRE(resting.size() == fixture.steerer.servers().size());
    request_plan plan;
    const auto step = fixture.begin(plan);
    const auto* refused = std::get_if<refuse_step>(&step);
    REQUIRE(refused != nullptr);
    REQUIRE(refused->retry_after > core::duration::zero());
    fixture.time.advance(milliseconds(2400));
    request_plan later;
    REQUIRE(std::holds_alternative<send_step>(fixture.begin(later)));
}
