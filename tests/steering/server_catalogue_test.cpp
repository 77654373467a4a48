#include "samples.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using namespace knapweed::steering;
using core::milliseconds;

namespace {

struct catalogue_fixture {
    catalogue_fixture()
    {
        servers.set_regions(test::sample_regions());
        for (const auto* id : {"s0", "s1", "s2", "s3"})
            servers.put(test::sample_server(id));
    }

    void set_store_reachable(bool reachable)
    {
        servers.update_store_paths([reachable](const core::region_id&) { return reachable; });
    }
    std::size_t usable() const { return servers.usable(test::orders).size(); }

    core::simulated_clock time;
    server_catalogue servers{time};
};

} // namespace

// Guards against requests to a server that is shutting down or whose entry was removed.
TEST_CASE("a server that is leaving or was removed is not usable")
{
    catalogue_fixture fixture;
    auto leaving = test::sample_server("s0");
    leaving.leaving = true;
    fixture.servers.put(leaving);
    REQUIRE(fixture.usable() == 3);
    fixture.servers.remove(core::server_id{"s1"});
    REQUIRE(fixture.usable() == 2);
}

// Guards against requests to a server that has left: an instance that had been cut off still used the server
// for two seconds, because it treated the removed entry as expired (DRAIN on kitami-tw, scale-2
// --seed 147813670701).
TEST_CASE("a single entry that was removed while this instance was cut off is dropped at once")
{
    catalogue_fixture fixture;
    fixture.set_store_reachable(false);
    fixture.time.advance(milliseconds(9000));
    fixture.set_store_reachable(true);
    fixture.servers.remove(core::server_id{"s0"});
    REQUIRE(fixture.usable() == 3);
}

// Guards against refusing all requests when all entries expired because the store was unavailable.
TEST_CASE("servers whose entries expired together stay usable until they are registered again or the grace "
          "period ends")
{
    catalogue_fixture fixture;
    fixture.set_store_reachable(false);
    fixture.time.advance(milliseconds(9000));
    fixture.set_store_reachable(true);
    for (const auto* id : {"s0", "s1", "s2"})
        fixture.servers.remove(core::server_id{id});
    REQUIRE(fixture.usable() == 4);
    fixture.time.advance(milliseconds(500));
    fixture.servers.put(test::sample_server("s0"));
    fixture.servers.put(test::sample_server("s1"));
    REQUIRE(fixture.usable() == 3);
    fixture.time.advance(milliseconds(1600));
    fixture.servers.tick(nullptr);
    REQUIRE(fixture.usable() == 3);
    REQUIRE(fixture.servers.find(core::server_id{"s2"}) == nullptr);
}

// Guards against overloading servers that became cold while their data centre was evacuated.
TEST_CASE("servers of an evacuated data centre are not usable, and count as cold afterwards")
{
    catalogue_fixture fixture;
    const auto policy = test::sample_policy();
    fixture.servers.put(test::sample_server("b0", "near-b"));
    fixture.servers.set_evacuated(core::data_centre_id{"near-a"}, true, &policy);
    REQUIRE(fixture.usable() == 1);
    fixture.servers.replace_evacuated({}, &policy);
    REQUIRE(fixture.usable() == 5);
    REQUIRE(fixture.servers.find(core::server_id{"s0"})->cold_start().is_cold());
    REQUIRE_FALSE(fixture.servers.find(core::server_id{"b0"})->cold_start().is_cold());
}

// Guards against estimates of a restarted server that come from the process before the restart.
TEST_CASE("a server that restarts with the same id is treated as a new server")
{
    catalogue_fixture fixture;
    const auto before = fixture.servers.find(core::server_id{"s0"});
    before->failures().record_unreachable();
    auto restarted = test::sample_server("s0");
    restarted.started_unix_ms = 42;
    fixture.servers.put(restarted);
    const auto after = fixture.servers.find(core::server_id{"s0"});
    REQUIRE(after != before);
    REQUIRE_FALSE(after->failures().is_suspended());
    REQUIRE(fixture.usable() == 4);
}

// Guards against sending requests to an address that another server uses now.
TEST_CASE("a replaced server is usable again only with a new address")
{
    catalogue_fixture fixture;
    fixture.servers.find(core::server_id{"s0"})->mark_replaced();
    fixture.servers.put(test::sample_server("s0"));
    REQUIRE(fixture.usable() == 3);
    auto moved = test::sample_server("s0");
    moved.address = "127.0.0.1:9002";
    fixture.servers.put(moved);
    REQUIRE(fixture.usable() == 4);
}

// Guards against servers that disappear, come back or change their process with an older copy of the store.
TEST_CASE("what was known of servers goes before an older copy of the store until it has settled")
{
    catalogue_fixture fixture;
    const auto record = [](const std::string& id, std::uint64_t started) {
        auto result = test::sample_server(id);
        result.started_unix_ms = started;
        return result;
    };
    fixture.servers.put(record("joined", 7));
    fixture.servers.put(record("restarted", 9));
    fixture.servers.put(record("departed", 5));
    fixture.servers.remove(core::server_id{"departed"});
    auto leaving = test::sample_server("s3");
    leaving.leaving = true;
    fixture.servers.put(leaving);
    REQUIRE(fixture.usable() == 5);

    fixture.servers.store_restored();
    const auto copy = [&] {
        fixture.servers.replace_all({record("s0", 0), record("s1", 0), record("s2", 0), record("s3", 0),
                                     record("restarted", 8), record("departed", 5)});
    };
    copy();
    REQUIRE(fixture.usable() == 5);
    REQUIRE(fixture.servers.find(core::server_id{"joined"}) != nullptr);
    REQUIRE(fixture.servers.find(core::server_id{"departed"}) == nullptr);
    REQUIRE(fixture.servers.find(core::server_id{"restarted"})->record().started_unix_ms == 9);

    SECTION("a server that registers again stays, others are gone")
    {
        fixture.servers.put(record("restarted", 9));
        fixture.time.advance(milliseconds(2100));
        fixture.servers.tick(nullptr);
        REQUIRE(fixture.servers.find(core::server_id{"joined"}) == nullptr);
        REQUIRE(fixture.usable() == 4);
        fixture.servers.remove(core::server_id{"departed"});
        fixture.time.advance(milliseconds(6000));
        fixture.servers.tick(nullptr);
        REQUIRE(fixture.servers.find(core::server_id{"departed"}) == nullptr);
    }
    SECTION("an entry that stays in the copy belongs to a server that is there")
    {
        fixture.time.advance(milliseconds(6100));
        fixture.servers.tick(nullptr);
        REQUIRE(fixture.servers.find(core::server_id{"departed"}) != nullptr);
    }
    SECTION("a second copy begins another time to settle")
    {
        fixture.time.advance(milliseconds(1500));
        fixture.servers.store_restored();
        copy();
        fixture.time.advance(milliseconds(1500));
        fixture.servers.tick(nullptr);
        REQUIRE(fixture.usable() == 5);
    }
    SECTION("a list that is read later is taken as it is")
    {
        fixture.time.advance(milliseconds(2100));
        copy();
        REQUIRE(fixture.servers.find(core::server_id{"joined"}) == nullptr);
    }
}

// Guards against requests to a server that had begun to leave, because an older entry of it was read.
TEST_CASE("a process that has begun to leave stays leaving until it starts again")
{
    catalogue_fixture fixture;
    auto record = test::sample_server("s0");
    record.leaving = true;
    fixture.servers.put(record);
    record.leaving = false;
    fixture.servers.put(record);
    REQUIRE(fixture.usable() == 3);
    fixture.servers.remove(core::server_id{"s0"});
    fixture.servers.put(record);
    REQUIRE(fixture.usable() == 3);
    record.started_unix_ms = 1;
    fixture.servers.put(record);
    REQUIRE(fixture.usable() == 4);
}

// Guards against requests to an evacuated data centre, and against one that is evacuated without need, after
// the store has come back from an older copy.
TEST_CASE("evacuations that were in force go before an older copy of the store until it has settled")
{
    catalogue_fixture fixture;
    const core::data_centre_id near_a{"near-a"};
    const core::data_centre_id near_b{"near-b"};
    fixture.servers.set_evacuated(near_a, true, nullptr);
    fixture.servers.store_restored();
    fixture.servers.replace_evacuated({near_b}, nullptr);
    REQUIRE(fixture.servers.is_evacuated(near_a));
    REQUIRE_FALSE(fixture.servers.is_evacuated(near_b));
    fixture.servers.set_evacuated(near_a, true, nullptr); // written again
    fixture.servers.set_evacuated(near_b, false, nullptr);
    fixture.time.advance(milliseconds(2100));
    fixture.servers.tick(nullptr);
    REQUIRE(fixture.servers.is_evacuated(near_a));
    REQUIRE_FALSE(fixture.servers.is_evacuated(near_b));
}
