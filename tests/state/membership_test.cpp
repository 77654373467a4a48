#include "samples.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using namespace std::chrono_literals;
using state::member_state;
using tests::listed;
using tests::receive_heartbeat;
using tests::run_for;

namespace {

struct member_fixture {
    core::simulated_clock time;
    state::membership members{tests::sample_options("e1"), time};

    member_state state_of(const std::string& name) const
    {
        return members.find(core::instance_id{name})->state;
    }
};

} // namespace

// Guards against a lagging list that overrides heartbeats or their absence.
TEST_CASE_METHOD(member_fixture, "heartbeats take precedence over the lagging list")
{
    members.list_received({listed("e1"), listed("e2"), listed("e3")});
    for (int i = 0; i < 7; ++i) {
        receive_heartbeat(members, "e2");
        receive_heartbeat(members, "e4"); // not listed yet
        run_for(time, members, 500ms);
    }
    REQUIRE(state_of("e3") == member_state::failed); // listed but silent
    REQUIRE(state_of("e4") == member_state::alive);
    members.list_received({listed("e1"), listed("e3")});
    receive_heartbeat(members, "e2");
    REQUIRE(state_of("e2") == member_state::alive); // no longer listed, but its heartbeats arrive
    members.list_received({});
    REQUIRE_FALSE(members.find(core::instance_id{"e3"})->delisted); // an empty list is ignored
}

// Guards against failure detection that is too late or too early.
TEST_CASE_METHOD(member_fixture, "a silent instance is suspected after 1.5 s and failed after 3 s")
{
    receive_heartbeat(members, "e2");
    run_for(time, members, 1400ms);
    REQUIRE(state_of("e2") == member_state::alive);
    run_for(time, members, 100ms);
    REQUIRE(state_of("e2") == member_state::suspected);
    run_for(time, members, 1500ms);
    REQUIRE(state_of("e2") == member_state::failed);
    receive_heartbeat(members, "e2");
    REQUIRE(state_of("e2") == member_state::alive);
}

// Guards against a late heartbeat of a replaced instance that changes the state of its successor.
TEST_CASE_METHOD(member_fixture, "a heartbeat of an older incarnation is ignored")
{
    members.list_received({listed("e2", "a1", "r1", true)});
    REQUIRE(receive_heartbeat(members, "e2", "a1", "r1", 5, 0, true));
    REQUIRE(state_of("e2") == member_state::leaving);
    REQUIRE(receive_heartbeat(members, "e2", "a1", "r1", 5)); // leaving is final within an incarnation
    REQUIRE(state_of("e2") == member_state::leaving);
    REQUIRE(receive_heartbeat(members, "e2", "a1", "r1", 6));
    REQUIRE(state_of("e2") == member_state::alive);
    REQUIRE_FALSE(receive_heartbeat(members, "e2", "a1", "r1", 5, 0, true));
    REQUIRE_FALSE(receive_heartbeat(members, "e7", "a1", "r1", 0));
    REQUIRE(state_of("e2") == member_state::alive);
    members.list_received({listed("e2", "a1", "r1", true)}); // still refers to the old incarnation
    REQUIRE(state_of("e2") == member_state::alive);
    members.list_received({listed("e2")});
    members.list_received({listed("e2", "a1", "r1", true)});
    REQUIRE(state_of("e2") == member_state::leaving);
}

// Guards against an instance that after a pause uses outdated states, or heartbeats that waited in its
// buffers.
TEST_CASE_METHOD(member_fixture, "after a pause all peers are suspected until new heartbeats arrive")
{
    receive_heartbeat(members, "e2");
    run_for(time, members, 500ms);
    time.advance(1600ms);
    receive_heartbeat(members, "e2"); // waited in a buffer during the pause; handled before the next tick
    REQUIRE(state_of("e2") == member_state::suspected);
    REQUIRE(members.is_isolated());
    REQUIRE(members.tick());
    REQUIRE_FALSE(members.tick());
    run_for(time, members, 500ms);
    receive_heartbeat(members, "e2");
    REQUIRE(state_of("e2") == member_state::alive);
    REQUIRE_FALSE(members.is_isolated());
}

// Guards against an instance that continues to run after the platform has started a successor of the same
// name.
TEST_CASE_METHOD(member_fixture,
                 "an instance is replaced when a newer incarnation of its name sends a heartbeat")
{
    receive_heartbeat(members, "e1", "a1", "r1", 999);
    REQUIRE_FALSE(members.is_replaced());
    receive_heartbeat(members, "e1", "a1", "r1", 1001);
    REQUIRE(members.is_replaced());
    REQUIRE(members.self().incarnation.value == 1000);
}

// Guards against a number of heartbeats that grows with the square of the number of instances.
TEST_CASE_METHOD(member_fixture,
                 "with more instances than the full mesh only relays send to other data centres")
{
    for (int i = 2; i <= 40; ++i)
        receive_heartbeat(members, "e" + std::to_string(i), i % 2 == 0 ? "a1" : "b1",
                          i % 2 == 0 ? "r1" : "r2");
    const auto targets = members.heartbeat_targets();
    const auto remote = std::count_if(targets.begin(), targets.end(),
                                      [](const auto* peer) { return peer->data_centre.str() == "b1"; });
    REQUIRE(targets.size() - static_cast<std::size_t>(remote) == 20);
    REQUIRE(remote == (members.is_selected_for("heartbeat_relay", 2) ? 2 : 0));
}

// Guards against two sides of a partition that do not reconnect when it ends.
TEST_CASE_METHOD(member_fixture, "a silent instance receives heartbeats while it is still listed")
{
    members.list_received({listed("e1"), listed("e2"), listed("e3")});
    run_for(time, members, 5s);
    REQUIRE(members.heartbeat_targets().size() == 2);
    members.list_received({listed("e1"), listed("e2")});
    REQUIRE(members.heartbeat_targets().size() == 1);
    run_for(time, members, 601s);
    REQUIRE(members.find(core::instance_id{"e3"}) == nullptr);
}
