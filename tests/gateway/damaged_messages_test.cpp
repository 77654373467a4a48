#include "forwarding_fixture.h"
#include "fuzz/message_mutator.h"
#include "gateway/gateway_settings.h"
#include "gateway/status_codec.h"

#include <atomic>
#include <catch2/catch.hpp>

using namespace knapweed;
using namespace knapweed::test;

namespace {

constexpr std::uint64_t seed = 20;
constexpr int cases_over_sockets = 500;
constexpr int decoded_cases = 5000;

std::string id_of(const std::string& request)
{
    const auto begin = request.find("X-Id: ") + 6;
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

scripted_reply answer_to(const std::string& request)
{
    return {make_signed_reply(id_of(request), "answer to " + id_of(request))};
}

/** Guards against a process that has ended, and against answers to damaged messages that reach other callers.
 */
void require_own_answer(forwarding_fixture& fixture, const std::string& id)
{
    test_client client(fixture.port());
    client.send(make_request(id, "POST"));
    const auto answer = client.read_answer();
    INFO("request " << id << ": " << answer << "\nlog:\n" << fixture.take_log());
    REQUIRE(answer.starts_with("HTTP/1.1 200"));
    REQUIRE(answer.ends_with("\r\n\r\nanswer to " + id));
}

} // namespace

// Guards against a damaged request that ends the process, is answered as a success without a server, or
// affects another request.
TEST_CASE("damaged requests of callers end only their own connections")
{
    message_mutator mutator(seed);
    forwarding_fixture fixture({answer_to}, false);
    for (int i = 0; i < cases_over_sockets; ++i) {
        const auto id = "m" + std::to_string(i);
        const auto request = mutator.mutate(
            i % 2 == 0
                ? make_request(id, "POST", "X-Field: a\r\n", "body of the request")
                : "POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: " + id +
                      "\r\nTransfer-Encoding: chunked\r\n\r\n4;n=1\r\nbody\r\n0\r\nX-Trailer: t\r\n\r\n");
        INFO("case " << i << ": " << request);
        test_client client(fixture.port());
        client.send(request);
        client.finish_sending();
        const auto answer = client.read_to_end();
        REQUIRE((answer.empty() || answer.starts_with("HTTP/1.1 ")));
        if (i % 10 == 0)
            require_own_answer(fixture, "n" + std::to_string(i));
    }
}

// Guards against a damaged answer that ends the process, or whose rest is taken for the answer to the next
// request.
TEST_CASE("damaged answers of servers never reach the caller of another request")
{
    message_mutator mutator(seed);
    std::atomic<bool> closes = false;
    const auto damage = [&mutator, &closes](const std::string& request) {
        auto reply = answer_to(request);
        if (!id_of(request).starts_with("m"))
            return reply;
        reply.bytes = mutator.mutate(reply.bytes);
        reply.close = mutator.below(10) != 0;
        closes = reply.close;
        return reply;
    };
    forwarding_fixture fixture({damage}, false, core::milliseconds(4000));
    for (int i = 0; i < cases_over_sockets; ++i) {
        const auto id = "m" + std::to_string(i);
        closes = false;
        test_client client(fixture.port());
        auto request = make_request(id, "POST", "Connection: close\r\n");
        request.replace(request.find("X-Left: 4000"), 12, "X-Left: 400");
        client.send(request);
        const auto answer = client.read_to_end();
        INFO("case " << i << ": " << answer);
        REQUIRE((answer.empty() || answer.starts_with("HTTP/1.1 ")));
        if (answer.starts_with("HTTP/1.1 200"))
            REQUIRE(answer.find("X-Id: " + id) != std::string::npos);
        // A request that crosses the server's close on a kept connection may get 502.
        REQUIRE((!closes || fixture.server(0).wait_for_all_closed()));
        require_own_answer(fixture, "n" + std::to_string(i));
    }
}

// Guards against a damaged datagram that ends the process or puts values into the estimates that break them.
TEST_CASE("damaged datagrams are ignored or decoded to usable values")
{
    message_mutator mutator(seed);
    core::simulated_clock time;
    steering::steerer steerer({core::instance_id{"own"}, {core::data_centre_id{"a"}, core::region_id{"r"}}},
                              time);
    steering::instance_status status;
    status.instance = core::instance_id{"i1"};
    status.location = {core::data_centre_id{"a"}, core::region_id{"r"}};
    status.caller_address = "127.0.0.1:1";
    status.peer_address = "127.0.0.1:2";
    status.incarnation = {5};
    status.demand[core::service_id{"orders"}] = 12.5;
    status.region_sum = {7, status.demand};
    const steering::instance_load load{
        core::instance_id{"i1"}, {5}, 7, {{123, 2}, {456, 1}}, core::region_id{"r"}};
    steering::table_change change;
    change.rows = {{"gone", "", 7, true}, {"new", "value", 8, false}};
    const std::array<std::string, 3> messages{
        gateway::encode_datagram(status), gateway::encode_datagram(load), gateway::encode_datagram(change)};
    for (int i = 0; i < decoded_cases; ++i) {
        const auto decoded = gateway::decode_datagram(mutator.mutate(messages.at(mutator.below(3))));
        if (const auto* read_status = std::get_if<steering::instance_status>(&decoded)) {
            steerer.peers().update(*read_status);
            REQUIRE(read_status->capacity > 0);
        }
        else if (const auto* read_load = std::get_if<steering::instance_load>(&decoded)) {
            steerer.loads_of_peers().update(*read_load);
        }
        time.advance(core::milliseconds(20));
        (void)steerer.tick();
        REQUIRE(steerer.peers().demand(core::service_id{"orders"}, core::region_id{"r"}) >= 0);
        (void)steerer.fanout().next_load_message(1);
    }
}

// Guards against a damaged settings file that ends the process instead of being reported.
TEST_CASE("damaged settings are read or reported")
{
    message_mutator mutator(seed);
    const std::string valid =
        "[instance]\nname=i\ndata_centre=a\nregion=r\n[listen]\ncallers=127.0.0.1:1\n"
        "readiness=127.0.0.1:2\nlookups=127.0.0.1:3\npeers=127.0.0.1:4\nmetrics=127.0.0.1:5\n"
        "[platform]\nstore=127.0.0.1:6\n[timing]\ngrace_ms=7000\n[steering]\nretry_extra=60\n"
        "[data_centres]\na=r\n";
    for (int i = 0; i < decoded_cases; ++i) {
        const auto read = gateway::parse_gateway_settings(mutator.mutate(valid));
        const bool usable = !read.settings.instance.empty() && read.settings.capacity > 0;
        REQUIRE((usable || !read.errors.empty()));
    }
}
