#include "samples.h"

#include <catch2/catch.hpp>

namespace {

using namespace knapweed;
using namespace knapweed::steering;
using core::milliseconds;

struct notices_fixture {
    core::simulated_clock time;
    server_catalogue servers{time};
    server_notices notices{servers, time};
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
