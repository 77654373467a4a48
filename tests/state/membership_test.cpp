#include "samples.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using namespace std::chrono_literals;
using state::member_state;
using tests::hear;
using tests::listed;
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

// Guards against a lagging list that overrules what an instance hears, in both directions.
TEST_CASE_METHOD(member_fixture, "heartbeats outweigh the lagging list")
{
    members.list_received({listed("e1"), listed("e2"), listed("e3")});
    for (int i = 0; i < 7; ++i) {
        hear(members, "e2");
        hear(members, "e4"); // not listed yet
        run_for(time, members, 500ms);
    }
    REQUIRE(state_of("e3") == member_state::failed); // listed but silent
    REQUIRE(state_of("e4") == member_state::alive);
    members.list_received({listed("e1"), listed("e3")});
    hear(members, "e2");
    REQUIRE(state_of("e2") == member_state::alive); // dropped by the list but heard
    members.list_received({});
    REQUIRE_FALSE(members.find(core::instance_id{"e3"})->dropped); // an empty list drops nobody
}

// Guards against a failure that is detected too late or too early.
TEST_CASE_METHOD(member_fixture, "a silent instance is suspected after 1.5 s and failed after 3 s")
{
    hear(members, "e2");
    run_for(time, members, 1400ms);
    REQUIRE(state_of("e2") == member_state::alive);
    run_for(time, members, 100ms);
    REQUIRE(state_of("e2") == member_state::suspected);
    run_for(time, members, 1500ms);
    REQUIRE(state_of("e2") == member_state::failed);
    hear(members, "e2");
    REQUIRE(state_of("e2") == member_state::alive);
}

// Guards against a late message of a replaced instance that changes the state of its successor.
TEST_CASE_METHOD(member_fixture, "a heartbeat of an older incarnation is ignored")
{
    members.list_received({listed("e2", "a1", "r1", true)});
    REQUIRE(hear(members, "e2", "a1", "r1", 5, 0, true));
    REQUIRE(state_of("e2") == member_state::leaving);
    REQUIRE(hear(members, "e2", "a1", "r1", 5)); // leaving is final within an incarnation
    REQUIRE(state_of("e2") == member_state::leaving);
    REQUIRE(hear(members, "e2", "a1", "r1", 6));
    REQUIRE(state_of("e2") == member_state::alive);
    REQUIRE_FALSE(hear(members, "e2", "a1", "r1", 5, 0, true));
    REQUIRE_FALSE(hear(members, "e7", "a1", "r1", 0));
    REQUIRE(state_of("e2") == member_state::alive);
    members.list_received({listed("e2", "a1", "r1", true)}); // still about the old incarnation
    REQUIRE(state_of("e2") == member_state::alive);
    members.list_received({listed("e2")});
    members.list_received({listed("e2", "a1", "r1", true)});
    REQUIRE(state_of("e2") == member_state::leaving);
}

// Guards against a paused instance that trusts what it knew, or what waited in its buffers.
TEST_CASE_METHOD(member_fixture, "after a pause all peers are silent until they are heard anew")
{
    hear(members, "e2");
    run_for(time, members, 500ms);
    time.advance(1600ms);
    hear(members, "e2"); // waited in a buffer during the pause; handled before the next tick
    REQUIRE(state_of("e2") == member_state::suspected);
    REQUIRE(members.is_isolated());
    REQUIRE(members.tick());
    REQUIRE_FALSE(members.tick());
    run_for(time, members, 500ms);
    hear(members, "e2");
    REQUIRE(state_of("e2") == member_state::alive);
    REQUIRE_FALSE(members.is_isolated());
}

// Guards against an instance that goes on although the platform has started a successor of the same name.
TEST_CASE_METHOD(member_fixture, "a newer incarnation of the own name is noticed")
{
    hear(members, "e1", "a1", "r1", 999);
    REQUIRE_FALSE(members.is_replaced());
    hear(members, "e1", "a1", "r1", 1001);
    REQUIRE(members.is_replaced());
    REQUIRE(members.self().incarnation.value == 1000);
}

// Guards against heartbeats that grow with the square of the number of instances.
TEST_CASE_METHOD(member_fixture, "above the full mesh only relays send to other data centres")
{
    for (int i = 2; i <= 40; ++i)
        hear(members, "e" + std::to_string(i), i % 2 == 0 ? "a1" : "b1", i % 2 == 0 ? "r1" : "r2");
    const auto targets = members.heartbeat_targets();
    const auto far = std::count_if(targets.begin(), targets.end(),
                                   [](const auto* peer) { return peer->data_centre.str() == "b1"; });
    REQUIRE(targets.size() - static_cast<std::size_t>(far) == 20);
    REQUIRE(far == (members.is_selected_for("heartbeat_relay", 2) ? 2 : 0));
}

// Guards against partition halves that never find each other again.
TEST_CASE_METHOD(member_fixture, "a silent instance that is still listed goes on receiving heartbeats")
{
    members.list_received({listed("e1"), listed("e2"), listed("e3")});
    run_for(time, members, 5s);
    REQUIRE(members.heartbeat_targets().size() == 2);
    members.list_received({listed("e1"), listed("e2")});
    REQUIRE(members.heartbeat_targets().size() == 1);
    run_for(time, members, 601s);
    REQUIRE(members.find(core::instance_id{"e3"}) == nullptr);
}
