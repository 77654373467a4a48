#include "samples.h"

#include <catch2/catch.hpp>
#include <set>

using namespace knapweed;
using namespace std::chrono_literals;
using tests::listed;
using tests::receive_heartbeat;
using tests::run_for;

namespace {

const core::pool_id pool{core::service_id{"orders"}, core::data_centre_id{"a1"}};
constexpr core::milliseconds max_run{5000};

struct placement_fixture {
    core::simulated_clock time;
    state::membership members{tests::sample_options("e1"), time};
    state::placement placement{members};

    placement_fixture() { placement.configure(tests::sample_configuration(1)); }
};

} // namespace

// Guards against two instances that both act as the owner of a pool.
TEST_CASE("instances that exchange heartbeats select the same owner for every pool")
{
    core::simulated_clock time;
    state::membership first{tests::sample_options("e1"), time};
    state::membership second{tests::sample_options("e2"), time};
    receive_heartbeat(first, "e2");
    receive_heartbeat(second, "e1");
    const state::placement first_placement{first};
    const state::placement second_placement{second};
    std::set<core::instance_id> owners;
    for (int i = 0; i < 50; ++i) {
        const core::pool_id numbered_pool{core::service_id{"s" + std::to_string(i)},
                                          core::data_centre_id{"a1"}};
        REQUIRE(first_placement.owner_of(numbered_pool) == second_placement.owner_of(numbered_pool));
        owners.insert(*first_placement.owner_of(numbered_pool));
    }
    REQUIRE(owners.size() == 2);
}

// Guards against two sides of a partition that both use all slots of a pool.
TEST_CASE_METHOD(placement_fixture,
                 "a silent candidate makes the pool disputed until it is known to have left")
{
    members.list_received({listed("e1"), listed("e2"), listed("e3")});
    receive_heartbeat(members, "e2");
    REQUIRE_FALSE(placement.disputed(pool, max_run).is_disputed());
    run_for(time, members, 1500ms);
    receive_heartbeat(members, "e3");
    auto dispute = placement.disputed(pool, max_run);
    REQUIRE(dispute.candidates.size() == 3);
    REQUIRE(dispute.silent == std::vector{core::instance_id{"e2"}});
    run_for(time, members, 1500ms); // e2 has failed and owns nothing, but may still be running
    REQUIRE(placement.candidates(pool).size() == 2);
    REQUIRE(placement.disputed(pool, max_run).candidates.size() == 3);
    receive_heartbeat(members, "e3");
    members.list_received({listed("e1"), listed("e3")});
    dispute = placement.disputed(pool, max_run);
    REQUIRE_FALSE(dispute.is_disputed());
    REQUIRE(dispute.candidates.size() == 2);
}

// Guards against a pool that remains disputed forever when the platform's list is not available.
TEST_CASE_METHOD(placement_fixture, "a dispute ends after the longest run time plus 10 s of silence")
{
    receive_heartbeat(members, "e2");
    run_for(time, members, 14900ms);
    REQUIRE(placement.disputed(pool, max_run).is_disputed());
    run_for(time, members, 100ms);
    REQUIRE_FALSE(placement.disputed(pool, max_run).is_disputed());
}

// Guards against two data centres that both use the slots of a pool during a partition between them.
TEST_CASE("a pool passes to the sibling data centre only when its own instances are known to have left")
{
    core::simulated_clock time;
    state::membership members{tests::sample_options("e9", "a2"), time};
    state::placement placement{members};
    placement.configure(tests::sample_configuration(1));
    members.list_received({listed("e1"), listed("e9", "a2"), listed("f1", "b1", "r2")});
    run_for(time, members, 60s);
    REQUIRE_FALSE(placement.owner_of(pool));
    members.list_received({listed("e9", "a2"), listed("f1", "b1", "r2")});
    REQUIRE(placement.owner_of(pool) == core::instance_id{"e9"});
}

// Guards against a witness that fails together with the owner, or whose incarnation is unknown.
TEST_CASE_METHOD(
    placement_fixture,
    "the witness is from the sibling data centre, else from the owner's, else from another region")
{
    members.list_received({listed("w0", "a2")});
    REQUIRE_FALSE(
        placement.pick_witness(members.self(), 0)); // no heartbeat yet, so its incarnation is unknown
    receive_heartbeat(members, "f1", "b1", "r2");
    REQUIRE(placement.pick_witness(members.self(), 0)->instance.str() == "f1");
    receive_heartbeat(members, "e2");
    REQUIRE(placement.pick_witness(members.self(), 0)->instance.str() == "e2");
    receive_heartbeat(members, "w1", "a2", "r1", 42);
    receive_heartbeat(members, "w2", "a2", "r1", 43);
    REQUIRE(placement.pick_witness(members.self(), 0)->incarnation.value == 42);
    REQUIRE(placement.pick_witness(members.self(), 1)->incarnation.value == 43);
    receive_heartbeat(members, "w1", "a2", "r1", 42, 0, true);
    REQUIRE(placement.pick_witness(members.self(), 0)->instance.str() == "w2");
}

// Guards against look-ups that return an instance which is leaving or has failed.
TEST_CASE_METHOD(placement_fixture,
                 "look-ups return instances of the region and less loaded ones first and rotate equal ones")
{
    state::endpoint_directory directory{members, time, 1};
    directory.configure(tests::sample_configuration(1));
    const auto names = [&directory](const char* region) {
        std::vector<std::string> result;
        for (const auto& endpoint :
             directory.lookup_endpoints(core::service_id{"orders"}, core::region_id{region}, 9).endpoints)
            result.push_back(endpoint.instance.str());
        return result;
    };
    receive_heartbeat(members, "gone");
    run_for(time, members, 3s);
    receive_heartbeat(members, "busy", "a1", "r1", 1, 100);
    receive_heartbeat(members, "far", "b1", "r2");
    receive_heartbeat(members, "leaving", "a1", "r1", 1, 0, true);
    REQUIRE(names("r1") == std::vector<std::string>{"e1", "busy", "far"});
    REQUIRE(names("r2") == std::vector<std::string>{"far", "e1", "busy"});
    REQUIRE(names("invented") == names("r1"));
    receive_heartbeat(members, "e2");
    const auto first = names("r1").front();
    REQUIRE(names("r1").front() != first);
    REQUIRE(names("r1").front() == first);
    receive_heartbeat(members, "far", "b1", "r2", 1, 0, true);
    REQUIRE(names("r2").size() == 3);
    REQUIRE(directory.lookup_endpoints(core::service_id{"orders"}, core::region_id{"r2"}).degraded);
    REQUIRE_FALSE(directory.lookup_endpoints(core::service_id{"orders"}, core::region_id{"r1"}).degraded);
}
