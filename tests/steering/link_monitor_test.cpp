#include "samples.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using namespace knapweed::steering;
using core::milliseconds;

namespace {

/** A monitor with servers in three data centres, whose probes are answered as the test says. */
class monitor_fixture {
public:
    explicit monitor_fixture(int servers_per_data_centre = 4)
    {
        servers.set_regions(test::sample_regions());
        for (const auto* data_centre : {"near-a", "near-b", "far-a"}) {
            for (int i = 0; i < servers_per_data_centre; ++i)
                servers.put(
                    test::sample_server(data_centre + std::string("-") + std::to_string(i), data_centre));
        }
    }

    /** Advances the clock with a tick every 100 ms. @param reaches whether a probe of a server connects. */
    void advance(milliseconds duration, const std::function<bool(const server_record&)>& reaches)
    {
        for (auto step = milliseconds(0); step < duration; step += milliseconds(100)) {
            time.advance(milliseconds(100));
            for (const auto& server : monitor.next_probes()) {
                ++probes;
                monitor.record_probe(server->record().id, reaches(server->record()));
            }
        }
    }

    /** Requests fail to connect to two servers. */
    void fail_two()
    {
        monitor.record_failed_connection(core::server_id{"near-a-0"});
        monitor.record_failed_connection(core::server_id{"near-a-1"});
    }

    core::simulated_clock time;
    server_catalogue servers{time};
    link_monitor monitor{core::data_centre_id{"near-a"}, servers, time, 1};
    std::size_t probes = 0;
};

bool reaches_all(const server_record&)
{
    return true;
}

bool reaches_none(const server_record&)
{
    return false;
}

} // namespace

// Guards against an instance that takes the loss of its own paths for the failure of all servers.
TEST_CASE("the paths count as cut soon after no server can be connected any more")
{
    monitor_fixture fixture;
    fixture.fail_two();
    fixture.advance(milliseconds(500), reaches_none);
    REQUIRE(fixture.monitor.is_cut());
}

// Guards against an instance that relays because some servers crashed or one data centre has failed.
TEST_CASE("the failure of some servers or of a whole data centre is not a cut")
{
    const auto* const failed_data_centre = GENERATE("near-a", "near-b", "far-a");
    monitor_fixture fixture;
    for (int i = 0; i < 20; ++i) {
        fixture.fail_two();
        fixture.advance(milliseconds(300), [&](const server_record& server) {
            return server.data_centre.str() != failed_data_centre;
        });
        REQUIRE_FALSE(fixture.monitor.is_cut());
    }
}

// Guards against an instance of a data centre that is cut off from the others, but not from its own servers.
TEST_CASE("an instance that reaches the servers of its own data centre only is not cut off")
{
    monitor_fixture fixture;
    for (int i = 0; i < 20; ++i) {
        fixture.monitor.record_failed_connection(core::server_id{"far-a-0"});
        fixture.monitor.record_failed_connection(core::server_id{"near-b-0"});
        fixture.advance(milliseconds(300),
                        [](const server_record& server) { return server.data_centre.str() == "near-a"; });
        REQUIRE_FALSE(fixture.monitor.is_cut());
    }
}

// Guards against probes that cost a fleet without failures something.
TEST_CASE("nothing is probed while connections succeed and answers arrive")
{
    monitor_fixture fixture;
    for (int i = 0; i < 100; ++i) {
        fixture.monitor.record_answer(core::server_id{"near-a-0"});
        fixture.monitor.record_silent_servers(2);
        fixture.advance(milliseconds(100), reaches_all);
    }
    fixture.monitor.record_failed_connection(core::server_id{"near-a-0"});
    fixture.advance(milliseconds(1000), reaches_all);
    REQUIRE(fixture.probes == 0);
}

// Guards against a cut that shows only by requests without an answer, on connections that are still open.
TEST_CASE("silence of all servers that owe answers raises a doubt")
{
    monitor_fixture fixture;
    fixture.monitor.record_answer(core::server_id{"near-a-0"});
    fixture.monitor.record_silent_servers(3);
    fixture.advance(milliseconds(400), reaches_none);
    REQUIRE(fixture.monitor.state() == link_state::sound);
    fixture.advance(milliseconds(600), reaches_none);
    REQUIRE(fixture.monitor.is_cut());
}

// Guards against a return to servers over paths that open only now and then.
TEST_CASE("a cut ends when servers of several samples in a row can be connected, not by a single connection")
{
    monitor_fixture fixture;
    fixture.fail_two();
    fixture.advance(milliseconds(500), reaches_none);
    REQUIRE(fixture.monitor.is_cut());
    int probe = 0;
    fixture.advance(milliseconds(3000), [&probe](const server_record&) { return ++probe % 12 == 0; });
    REQUIRE(fixture.monitor.is_cut());
    fixture.advance(milliseconds(1800), reaches_all);
    REQUIRE(fixture.monitor.state() == link_state::sound);
}

// Guards against an instance that relays for ever because most servers failed while it was cut off.
TEST_CASE("a cut ends although most servers have failed meanwhile")
{
    monitor_fixture fixture;
    fixture.fail_two();
    fixture.advance(milliseconds(500), reaches_none);
    REQUIRE(fixture.monitor.is_cut());
    fixture.advance(milliseconds(1800),
                    [](const server_record& server) { return server.data_centre.str() == "near-a"; });
    REQUIRE(fixture.monitor.state() == link_state::sound);
}

// Guards against a cut of a small service that shows only by requests without an answer.
TEST_CASE("silence of the only server raises a doubt")
{
    monitor_fixture fixture(0);
    fixture.servers.put(test::sample_server("only"));
    fixture.monitor.record_answer(core::server_id{"only"});
    fixture.monitor.record_silent_servers(1);
    fixture.advance(milliseconds(1000), reaches_none);
    REQUIRE(fixture.monitor.is_cut());
}

// Guards against a monitor that waits for ever for the result of a probe.
TEST_CASE("a probe that is never reported counts as failed")
{
    monitor_fixture fixture;
    fixture.fail_two();
    for (int i = 0; i < 60; ++i) {
        fixture.time.advance(milliseconds(100));
        (void)fixture.monitor.next_probes();
    }
    REQUIRE(fixture.monitor.is_cut());
}

// Guards against a division by the number of servers, or probes of a removed server.
TEST_CASE("a monitor with few servers or none follows them")
{
    monitor_fixture none(0);
    none.fail_two();
    none.advance(milliseconds(1000), reaches_none);
    REQUIRE(none.monitor.state() == link_state::sound);
    monitor_fixture few(1);
    few.fail_two();
    few.advance(milliseconds(500), reaches_none);
    REQUIRE(few.monitor.is_cut());
    for (const auto* id : {"near-a-0", "near-b-0", "far-a-0"})
        few.servers.remove(core::server_id{id});
    few.advance(milliseconds(1000), reaches_none);
    REQUIRE(few.monitor.is_cut());
}
