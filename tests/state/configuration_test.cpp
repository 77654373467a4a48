#include "fake_platform.h"
#include "samples.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using namespace std::chrono_literals;
using fault = tests::fake_platform::fault;
using state::publish_status;
using tests::sample_configuration;

namespace {

/** One instance with its client; all instances share a platform and a clock. */
struct instance {
    instance(const std::string& name, const core::simulated_clock& time)
        : members(tests::sample_options(name), time), client({}, time, 3), store({}, members, client, time, 5)
    {}

    void publish(const wire::configuration& candidate, const std::string& operation)
    {
        store.publish(candidate, store.version(),
                      {operation, "operator of " + operation, "change " + operation},
                      [this](const state::publish_result& result) { results.push_back(result); });
    }
    void tick(tests::fake_platform& platform)
    {
        members.tick();
        store.tick(messages);
        platform.serve(client);
    }

    state::membership members;
    state::platform_client client;
    state::configuration_store store;
    std::vector<state::addressed_message> messages;
    std::vector<state::publish_result> results;
};

struct store_fixture {
    core::simulated_clock time;
    tests::fake_platform platform;
    instance one{"e1", time};
    instance two{"e2", time};

    void run(core::milliseconds duration)
    {
        for (core::milliseconds passed{0}; passed < duration; passed += 100ms) {
            one.tick(platform);
            two.tick(platform);
            time.advance(100ms);
        }
    }
    void start_at(std::uint64_t version)
    {
        platform.put("configuration", "current", state::to_json(sample_configuration(version)));
        run(1500ms);
        REQUIRE(one.store.version() == version);
        REQUIRE(two.store.version() == version);
    }
    std::uint64_t table_version() const
    {
        return state::parse_configuration(platform.rows.at({"configuration", "current"}).second)->version();
    }
};

} // namespace

// Guards the invariant config_in_force: a stale read or a lagging peer must not lower the version in force.
TEST_CASE_METHOD(store_fixture, "a lower version never replaces a higher one, whatever its source")
{
    start_at(7);
    platform.put("configuration", "current", state::to_json(sample_configuration(6))); // stale read
    run(3s);
    REQUIRE(one.store.version() == 7);
    wire::push_configuration push;
    *push.mutable_body() = sample_configuration(5);
    REQUIRE_FALSE(one.store.push_received(push));
    REQUIRE_FALSE(one.store.offer(sample_configuration(7), state::configuration_source::snapshot));
    REQUIRE(one.store.version() == 7);
}

// Guards against a configuration that is damaged in transit, or was written by hand with an error.
TEST_CASE_METHOD(store_fixture, "an invalid configuration is rejected and the reason is available")
{
    start_at(1);
    auto broken = sample_configuration(2);
    broken.mutable_services(0)->mutable_backend_servers(0)->set_slots(0);
    REQUIRE_FALSE(one.store.offer(broken, state::configuration_source::peer));
    REQUIRE(one.store.last_rejection().find("services[orders].backend_servers[s1].slots") !=
            std::string::npos);
    platform.put("configuration", "current", "{\"version\": 3,");
    run(2s);
    REQUIRE(one.store.version() == 1);
    REQUIRE_FALSE(one.store.last_rejection().empty());
}

// Guards against two operators who are both informed that their change is in force.
TEST_CASE_METHOD(store_fixture,
                 "of two concurrent publishers one commits and the other receives the name of the first")
{
    start_at(1);
    one.publish(sample_configuration(0), "op-one");
    two.publish(sample_configuration(0), "op-two");
    run(2s);
    REQUIRE(one.results.size() == 1);
    REQUIRE(two.results.size() == 1);
    REQUIRE(one.results[0].status == publish_status::committed);
    REQUIRE(two.results[0].status == publish_status::conflict);
    REQUIRE(two.results[0].detail.find("operator of op-one") != std::string::npos);
    REQUIRE(two.store.version() == 2);
    state::history_result history;
    state::read_configuration_history(one.client, 2, 10, [&](const auto& result) { history = result; });
    run(1s);
    REQUIRE(history.complete);
    REQUIRE(history.entries.size() == 1); // version 1 was written without history
    REQUIRE(history.entries[0].change.operator_name() == "operator of op-one");
    REQUIRE(history.entries[0].change.replaced_version() == 1);
}

// Guards against a committed change that is reported as failed or written twice.
TEST_CASE_METHOD(store_fixture, "a lost answer after the commit is resolved by reading back")
{
    start_at(1);
    platform.fail_writes(fault::lost_answer);
    one.publish(sample_configuration(0), "op-one");
    run(10s);
    REQUIRE(one.results.size() == 1);
    REQUIRE(one.results[0].status == publish_status::committed);
    REQUIRE(table_version() == 2);
    REQUIRE(two.store.version() == 2);
}

// Guards against a change that is written twice because the first request arrives after it was sent again.
TEST_CASE_METHOD(store_fixture, "a request that takes effect late is committed once")
{
    start_at(1);
    platform.fail_writes(fault::late_request);
    one.publish(sample_configuration(0), "op-one");
    run(1100ms);
    REQUIRE(one.results.empty());
    platform.apply_late();
    run(10s);
    REQUIRE(one.results.at(0).status == publish_status::committed);
    REQUIRE(table_version() == 2);
}

// Guards against a written change that is reported as not written because its answer was lost and a newer
// version was made in the meantime.
TEST_CASE_METHOD(store_fixture,
                 "a change whose answer was lost is found in the history after a newer version was made")
{
    start_at(1);
    platform.fail_writes(fault::lost_answer);
    one.publish(sample_configuration(0), "op-one");
    run(200ms);
    platform.fail_all(fault::lost_answer);
    run(30s);
    REQUIRE(one.results.at(0).status == publish_status::unknown);
    platform.fail_all(fault::none);
    run(15s);
    two.publish(sample_configuration(0), "op-two");
    run(3s);
    REQUIRE(two.results.at(0).status == publish_status::committed);
    REQUIRE(table_version() == 3);
    one.store.publish(sample_configuration(0), 1, {"op-one", "operator", ""},
                      [this](const auto& result) { one.results.push_back(result); });
    run(3s);
    REQUIRE(one.results.at(1).status == publish_status::committed);
    REQUIRE(one.results.at(1).configuration.version() == 2);
    REQUIRE(table_version() == 3);
}

// Guards against a report that nothing was changed for a change that may still take effect.
TEST_CASE_METHOD(store_fixture, "while the store is unreachable a change fails and nothing is written")
{
    start_at(1);
    platform.fail_all(fault::unreachable);
    one.publish(sample_configuration(0), "op-one");
    run(5s);
    REQUIRE(one.results.at(0).status == publish_status::unreachable);
    REQUIRE(table_version() == 1);
    REQUIRE(one.store.version() == 1);
}

// Guards against an instance that waits for the store although its peers have the configuration.
TEST_CASE_METHOD(store_fixture,
                 "while the store is unreachable a restarted instance pulls the configuration from its peers")
{
    start_at(4);
    platform.fail_all(fault::unreachable);
    instance fresh{"e3", time};
    tests::receive_heartbeat(fresh.members, "e1");
    fresh.tick(platform);
    REQUIRE(fresh.messages.size() == 1);
    REQUIRE(fresh.messages[0].instance.str() == "e1");
    const auto reply = one.store.pull_received(fresh.messages[0].message.pull_configuration());
    REQUIRE(reply);
    REQUIRE(fresh.store.push_received(*reply));
    REQUIRE(fresh.store.version() == 4);
    REQUIRE_FALSE(one.store.pull_received([] {
        wire::pull_configuration same;
        same.set_known_version(4);
        return same;
    }()));
}

// Guards against one side of a partition that keeps an old version after the link is restored.
TEST_CASE_METHOD(store_fixture, "a heartbeat with a higher version causes a pull, repeated until it arrives")
{
    start_at(1);
    tests::receive_heartbeat(one.members, "e2");
    one.messages.clear();
    one.store.note_peer_version(core::instance_id{"e2"}, 2);
    one.store.note_peer_version(core::instance_id{"e2"}, 1);
    run(100ms);
    REQUIRE(one.messages.size() == 1);
    REQUIRE(one.messages[0].message.has_pull_configuration());
    run(2s); // the pull is lost; the next heartbeat contains the version again
    REQUIRE(one.messages.size() == 1);
    one.store.note_peer_version(core::instance_id{"e2"}, 2);
    run(100ms);
    REQUIRE(one.messages.size() == 2);
}

// Guards against a store that is overloaded by polls, and against peers that receive a change too late.
TEST_CASE("two readers of a data centre poll and push, the others read rarely")
{
    core::simulated_clock time;
    tests::fake_platform platform;
    platform.put("configuration", "current", state::to_json(sample_configuration(1)));
    std::vector<std::unique_ptr<instance>> all;
    const auto run = [&](core::milliseconds duration) {
        for (core::milliseconds passed{0}; passed < duration; passed += 500ms) {
            for (auto& current : all) {
                for (const auto& other : all) {
                    if (current != other)
                        tests::receive_heartbeat(current->members, other->members.self().instance.str());
                }
                current->tick(platform);
            }
            time.advance(500ms);
        }
    };
    for (int i = 0; i < 6; ++i)
        all.push_back(std::make_unique<instance>("e" + std::to_string(i), time));
    run(3s);
    platform.reads = 0;
    for (auto& current : all)
        current->messages.clear();
    run(60s);
    REQUIRE(platform.reads >= 115);
    REQUIRE(platform.reads <= 135); // 2 readers × 60 s and at most 3 reads by each of the others
    platform.put("configuration", "current", state::to_json(sample_configuration(2)));
    run(1500ms);
    for (const auto& current : all) {
        REQUIRE((current->store.version() == 2) == current->store.is_reader());
        REQUIRE(current->messages.size() == (current->store.is_reader() ? 5U : 0U));
    }
}
