#include "platform/base64.h"
#include "store_watcher_fixture.h"

#include <boost/asio/co_spawn.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace knapweed;
using namespace knapweed::platform;
using test::config_with_version;
using test::sample_config;
using test::sample_entry;
using test::store_watcher_fixture;

namespace {

/** @returns a configuration with version 32 and many routes, about 1 MB. */
std::string large_config()
{
    auto document = nlohmann::json::parse(sample_config);
    document["version"] = "00000020";
    const auto route = document["routes"]["r-1"];
    for (int i = 0; i < 4000; ++i) {
        const auto name = "r-more-" + std::to_string(i);
        document["routes"][name] = route;
        document["routes"][name]["prefix"] = "/more-" + std::to_string(i) + "/";
    }
    return document.dump();
}

} // namespace

// Guards against names of the platform that are converted to the wrong setting.
TEST_CASE("a configuration is converted to a traffic policy")
{
    const auto decoded = decode_policy(sample_config);
    const auto& policy = std::get<steering::traffic_policy>(decoded);
    REQUIRE(policy.version == 0x1f);
    REQUIRE(policy.routes.size() == 4);
    const auto& split_route = policy.routes[0];
    REQUIRE(split_route.idempotent);
    REQUIRE(split_route.object_affinity);
    REQUIRE(split_route.shares.size() == 2);
    REQUIRE(split_route.shares[1].weight == 10);
    REQUIRE(split_route.allowed_regions.front().str() == "east");
    REQUIRE(split_route.target_latency == core::milliseconds(300));
    REQUIRE_FALSE(policy.routes[1].idempotent);
    REQUIRE(policy.routes[1].max_attempts == 1);
    REQUIRE(policy.routes[2].idempotent);
    REQUIRE(policy.routes[2].large_answers);
    REQUIRE_FALSE(policy.routes[0].large_answers);
    REQUIRE_FALSE(policy.routes[3].idempotent);
    REQUIRE(policy.services.at(core::service_id{"s1"}).cold_time == core::milliseconds(3000));
    REQUIRE(policy.limits.idle_timeout == core::milliseconds(15000));
}

// Guards against a configuration that is applied in part.
TEST_CASE("decoding a malformed configuration gives an error with a reason")
{
    for (const auto* text : {"", "[]", "{}", R"({"version":"xyz","routes":{},"services":{}})",
                             R"({"version":5,"routes":{},"services":{}})",
                             R"({"version":"05","routes":{"r":{"host":1}},"services":{}})"}) {
        const auto decoded = decode_policy(text);
        REQUIRE_FALSE(std::get<decode_error>(decoded).reason.empty());
    }
}

// Guards against a limit that is read from a damaged field.
TEST_CASE("a server's limit is a finite decimal number of at least 0")
{
    CHECK(parse_request_limit("8.3") == 8.3);
    CHECK(parse_request_limit("0") == 0.0);
    CHECK(parse_request_limit("1e9") == 1e9);
    for (const auto* text :
         {"", "-1", "-0.5", "nan", "inf", "-inf", "1e999", "8.3 ", " 8.3", "8,3", "8.3x", "x"})
        CHECK_FALSE(parse_request_limit(text));
}

// Guards against a server that is taken for leaving because of a damaged field.
TEST_CASE("only the value 1 states that a server leaves")
{
    CHECK(parse_leaving("1"));
    for (const auto* text : {"", "0", "11", "true", "1 1"})
        CHECK_FALSE(parse_leaving(text));
}

// Guards against malformed entries, written by other programs, that add a server or stop the instance.
TEST_CASE("an entry with missing or wrong fields is rejected")
{
    const auto decoded = decode_server("i-1", sample_entry("ready", R"(,"born":1784138155021)"));
    const auto& record = std::get<steering::server_record>(decoded);
    REQUIRE(record.id.str() == "i-1");
    REQUIRE(record.data_centre.str() == "kl-a");
    REQUIRE(record.remaining_cold_time == core::milliseconds(1500));
    REQUIRE(record.started_unix_ms == 1784138155021);
    REQUIRE(std::get<steering::server_record>(decode_server("i", sample_entry("draining"))).leaving);
    const std::string truncated = sample_entry().substr(0, 40);
    for (const auto& text : {std::string("\xff\xfe"), std::string("null"), truncated, sample_entry("dancing"),
                             sample_entry("ready", R"(,"born":"yesterday")"),
                             std::string(R"({"address":5,"info":{},"status":{}})")})
        REQUIRE(std::holds_alternative<decode_error>(decode_server("i-1", text)));
}

TEST_CASE("malformed evacuation keys, load headers and rows are rejected, and base64 is reversible")
{
    REQUIRE(decode_evacuation("evacuate/kl-a")->str() == "kl-a");
    REQUIRE_FALSE(decode_evacuation("evacuate/"));
    REQUIRE_FALSE(decode_evacuation("config"));
    REQUIRE(parse_load("3,1,8")->waiting == 1);
    REQUIRE_FALSE(parse_load("3,1,8")->relative_run_time);
    REQUIRE(parse_load("3,1,8,250")->slots == 8);
    REQUIRE(parse_load("3,1,8,250")->relative_run_time == 2.5);
    for (const auto* text : {"", "3", "3,1", "3,1,8,", "3,1,8,x", "3,1,8,9,9", "3,1,x", "-1,0,3"})
        REQUIRE_FALSE(parse_load(text));
    REQUIRE(decode_base64(encode_base64(std::string("a\0b", 3))).value() == std::string("a\0b", 3));
    read_result rows;
    REQUIRE_FALSE(parse_rows("nonsense", rows));
    REQUIRE_FALSE(parse_rows(R"({"ver":1,"rows":[{"key":"k"}]})", rows));
}

// Guards against a copy of the store that lacks rows of later pages, changes or removals.
TEST_CASE("an instance follows configuration, servers and evacuations, and registers itself")
{
    store_watcher_fixture fixture;
    REQUIRE(fixture.wait_for_usable(7));
    REQUIRE(fixture.wait_for([](auto& steerer) { return steerer.policy() != nullptr; }));
    fixture.store.put("servers", "i-1", sample_entry("draining"));
    REQUIRE(fixture.wait_for_usable(6));
    fixture.store.remove("servers", "i-2");
    REQUIRE(fixture.wait_for_usable(5));
    fixture.store.put("op", "evacuate/kl-a", "{}");
    REQUIRE(fixture.wait_for_usable(0));
    fixture.store.remove("op", "evacuate/kl-a");
    REQUIRE(fixture.wait_for_usable(5));
    REQUIRE(fixture.wait_for([&](auto&) { return fixture.store.has("instances", "watcher"); }));
}

// Guards against an instance that stays out of date after an outage of the store, or that treats a malformed
// answer as an empty list.
TEST_CASE("an instance keeps its copy while the store is unavailable and catches up afterwards")
{
    for (const auto fault : {test::store_fake::fault::refuse, test::store_fake::fault::silent,
                             test::store_fake::fault::garbage, test::store_fake::fault::lose_history}) {
        store_watcher_fixture fixture;
        REQUIRE(fixture.wait_for_usable(7));
        fixture.store.set_fault(fault);
        const auto calls = fixture.store.calls();
        REQUIRE(fixture.wait_for([&](auto&) { return fixture.store.calls() >= calls + 2; }));
        REQUIRE(fixture.wait_for_usable(7));
        fixture.store.put("servers", "i-8", sample_entry());
        fixture.store.set_fault(test::store_fake::fault::none);
        REQUIRE(fixture.wait_for_usable(8));
    }
}

// Guards against changes that are missed because the connections to the store died without a sign.
TEST_CASE("changes are in force in time after the open connections to the store fell silent for good")
{
    constexpr std::chrono::milliseconds longest_silence{
        6500}; // out of touch for 4 s, then 2.5 s for a change
    store_watcher_fixture fixture;
    REQUIRE(fixture.wait_for_usable(7));
    REQUIRE(fixture.wait_for([&](auto&) { return fixture.store.has("instances", "watcher"); }));
    const auto silent_since = std::chrono::steady_clock::now();
    fixture.store.silence_open_connections();
    fixture.store.put("op", "config", config_with_version("00000020"));
    fixture.store.put("servers", "i-8", sample_entry());
    REQUIRE(fixture.wait_for_usable(8));
    REQUIRE(fixture.wait_for(
        [](auto& steerer) { return steerer.policy() != nullptr && steerer.policy()->version == 0x20; }));
    CHECK(std::chrono::steady_clock::now() - silent_since < longest_silence);
}

// Guards against a configuration that never takes effect, and a registration that is lost, because what the
// store acknowledged is gone and its versions are given out again.
TEST_CASE("an instance follows a store that has come back from an older copy")
{
    store_watcher_fixture fixture;
    REQUIRE(fixture.wait_for_usable(7));
    const auto older = fixture.store.copy();
    const auto policy_version = [&fixture](std::uint64_t version) {
        return fixture.wait_for([version](auto& steerer) {
            return steerer.policy() != nullptr && steerer.policy()->version == version;
        });
    };
    fixture.store.put("op", "config", config_with_version("00000020"));
    fixture.store.put("servers", "i-8", sample_entry());
    REQUIRE(policy_version(0x20));
    REQUIRE(fixture.wait_for_usable(8));
    REQUIRE(fixture.wait_for([&](auto&) { return fixture.store.has("instances", "watcher"); }));
    for (int i = 0; i < 5; ++i)
        fixture.store.put("servers", "i-1", sample_entry());
    const auto known = fixture.store.version();

    SECTION("and has fewer rows than before")
    {
        fixture.store.restore(older);
    }
    SECTION("and has passed the versions of before")
    {
        fixture.store.restore(older);
        fixture.store.put("op", "config", config_with_version("00000021"));
        while (fixture.store.version() <= known)
            fixture.store.put("other", "x", "");
        REQUIRE(policy_version(0x21));
    }
    SECTION("twice")
    {
        fixture.store.restore(older);
        fixture.store.put("op", "config", config_with_version("00000020"));
        REQUIRE(fixture.wait_for([&](auto&) { return fixture.store.has("instances", "watcher"); }));
        fixture.store.restore(older);
    }
    REQUIRE(fixture.wait_for([&](auto&) { return fixture.store.has("instances", "watcher"); }));
    REQUIRE(fixture.wait_for_usable(8)); // i-8 has not registered again yet
    fixture.store.put("op", "config", config_with_version("00000022"));
    REQUIRE(policy_version(0x22));
    REQUIRE(fixture.wait_for_usable(7)); // i-8 doesn't register again
}

// Guards against a list whose first pages come from rows that the store has lost.
TEST_CASE("a list whose pages are of two eras, and a late answer of an earlier era, count as failed")
{
    core::boot_clock time;
    gateway::gateway_metrics metrics;
    boost::asio::io_context io;
    net::http_client http(io.get_executor(), std::chrono::seconds(1), metrics, time);
    std::vector<std::string> eras{"4", "5", "5", "5", "4", "garbage"};
    const test::upstream_fake store([&](const std::string&) {
        const auto era = eras.front();
        eras.erase(eras.begin());
        const bool more = era == "4" && eras.size() == 5;
        return test::scripted_reply{test::make_reply(
            "200 OK", "Store-Era: " + era + "\r\n",
            std::string(R"({"rows":[{"key":"k)") + era + R"(","value":"","ver":1}],"ver":7,)" +
                (more ? R"("hasMore":true})" : R"("hasMore":false})"))};
    });
    std::vector<std::uint64_t> seen;
    store_client client(http, store.address(), metrics, [&seen](std::uint64_t era) { seen.push_back(era); });
    const auto list = [&] {
        read_result result;
        io.restart();
        boost::asio::co_spawn(
            io, client.list("op", core::milliseconds(2000)),
            [&result](const std::exception_ptr&, read_result outcome) { result = std::move(outcome); });
        io.run();
        return result;
    };
    REQUIRE(list().failure == read_failure::outdated); // pages of 4 and 5
    REQUIRE(list().status == read_status::ok);
    REQUIRE(list().status == read_status::ok);
    REQUIRE(list().failure == read_failure::outdated); // 4 after 5
    REQUIRE(list().status == read_status::ok);         // states none that can be read
    REQUIRE(seen == std::vector<std::uint64_t>{4, 5});
}

// Guards against a configuration that never takes effect because its transfer exceeds the time limit of a
// call.
TEST_CASE("a configuration takes effect however long a steady transfer takes")
{
    constexpr std::size_t slow_link_bytes_per_second = 450000;
    const auto is_in_force = [](steering::steerer& steerer) {
        return steerer.policy() != nullptr && steerer.policy()->version == 0x20;
    };
    SECTION("as a change of an earlier one")
    {
        store_watcher_fixture fixture;
        REQUIRE(fixture.wait_for_usable(7));
        fixture.store.set_rate(slow_link_bytes_per_second);
        fixture.store.put("op", "config", large_config());
        REQUIRE(fixture.wait_for(is_in_force));
    }
    SECTION("at the start of an instance")
    {
        store_watcher_fixture fixture(large_config(), slow_link_bytes_per_second);
        REQUIRE(fixture.wait_for(is_in_force));
    }
}

// Guards against a read that waits for ever for the rest of an answer.
TEST_CASE("a read ends when the answer stops or only trickles")
{
    core::boot_clock time;
    gateway::gateway_metrics metrics;
    boost::asio::io_context io;
    net::http_client http(io.get_executor(), std::chrono::seconds(1), metrics, time);
    const auto head = "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + std::string(3000, ' ');
    const std::size_t trickle_bytes_per_second = GENERATE(0U, 4000U);
    const test::upstream_fake store([&](const auto&) {
        test::scripted_reply reply{head + std::string(trickle_bytes_per_second * 20, ' '), false, true};
        reply.bytes_per_second = trickle_bytes_per_second;
        return reply;
    });
    store_client client(http, store.address(), metrics);
    read_result result;
    const auto began = time.now();
    boost::asio::co_spawn(
        io, client.follow("op", 0, core::milliseconds(0), core::milliseconds(300)),
        [&result](const std::exception_ptr&, read_result outcome) { result = std::move(outcome); });
    io.run();
    REQUIRE(result.failure == read_failure::timed_out);
    REQUIRE(time.now() - began < std::chrono::seconds(5));
}

// Guards against an instance that does not follow the store and does not detect that it has missed a
// broadcast change.
TEST_CASE("an instance whose region has another reader reads a missed change from the store")
{
    store_watcher_fixture fixture;
    REQUIRE(fixture.wait_for_usable(7));
    steering::instance_status reader;
    reader.location = {core::data_centre_id{"kl-b"}, core::region_id{"east"}};
    reader.incarnation = {1};
    reader.store.reads = true;
    reader.store.reachable = true;
    reader.store.era = 1;
    const auto update_readers = [&reader](steering::steerer& steerer) {
        // Readers are chosen by a hash of their names: one of these is chosen instead of the instance under
        // test.
        for (const auto* name : {"a", "b", "c", "d", "e", "f", "g", "h"}) {
            reader.instance = core::instance_id{name};
            ++reader.sequence;
            steerer.peers().update(reader);
        }
        return !steerer.store_role().must_follow_store();
    };
    REQUIRE(fixture.wait_for(update_readers));
    const auto known_version = std::make_shared<std::uint64_t>(0);
    REQUIRE(fixture.wait_for([&](auto& steerer) {
        *known_version = steerer.store_role().version(steering::replicated_table::servers);
        return update_readers(steerer) && *known_version > 0;
    }));
    fixture.store.remove("servers", "i-2");
    reader.store.newest_change = {0, *known_version + 100};
    REQUIRE(fixture.wait_for([&](auto& steerer) {
        update_readers(steerer);
        return steerer.servers().usable(core::service_id{"s1"}).size() == 6;
    }));
}

// Guards against a log that can't tell a slow answer from a refused, malformed or missing one.
TEST_CASE("the result of a failed read states the reason")
{
    test::store_fake store;
    core::boot_clock time;
    gateway::gateway_metrics metrics;
    boost::asio::io_context io;
    net::http_client http(io.get_executor(), std::chrono::seconds(1), metrics, time);
    const auto read = [&](const std::string& address, test::store_fake::fault fault) {
        store.set_fault(fault);
        store_client client(http, address, metrics);
        read_result result;
        boost::asio::co_spawn(
            io, client.follow("op", 0, core::milliseconds(0), core::milliseconds(300)),
            [&result](const std::exception_ptr&, read_result outcome) { result = std::move(outcome); });
        io.restart();
        io.run();
        return result;
    };
    store.put("op", "config", sample_config);
    REQUIRE(read(store.address(), test::store_fake::fault::none).failure == read_failure::none);
    REQUIRE(read(store.address(), test::store_fake::fault::refuse).failure == read_failure::refused);
    REQUIRE(read(store.address(), test::store_fake::fault::garbage).failure == read_failure::malformed);
    REQUIRE(read(store.address(), test::store_fake::fault::silent).failure == read_failure::timed_out);
    REQUIRE(read("127.0.0.1:1", test::store_fake::fault::none).failure == read_failure::no_connection);
}

// Guards against a write that the store refused or did not answer, but that is reported as done.
TEST_CASE("the status of a write shows whether it was done, refused or lost")
{
    test::store_fake store;
    core::boot_clock time;
    gateway::gateway_metrics metrics;
    boost::asio::io_context io;
    net::http_client http(io.get_executor(), std::chrono::seconds(1), metrics, time);
    store_client client(http, store.address(), metrics);
    const auto write = [&](test::store_fake::fault fault) {
        store.set_fault(fault);
        state::row_transaction change;
        change.writes.push_back({"instances", "me", "value"});
        std::optional<state::platform_status> status;
        boost::asio::co_spawn(
            io, client.write(change, core::milliseconds(300)),
            [&status](const std::exception_ptr&, state::platform_status result) { status = result; });
        io.restart();
        io.run();
        return *status;
    };
    REQUIRE(write(test::store_fake::fault::none) == state::platform_status::ok);
    REQUIRE(store.has("instances", "me"));
    REQUIRE(write(test::store_fake::fault::refuse) == state::platform_status::unreachable);
    REQUIRE(write(test::store_fake::fault::silent) == state::platform_status::timed_out);
}
