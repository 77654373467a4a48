#include "forwarding_fixture.h"

#include "net/time_limit.h"

#include <boost/asio/co_spawn.hpp>
#include <catch2/catch.hpp>

using namespace knapweed;
using namespace knapweed::test;
using steering::relay_outcome;

namespace {

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

/** @returns an answer that another instance itself generates. */
std::string make_instance_reply(const std::string& status, const std::string& id, const std::string& fields)
{
    return make_reply(status, "X-Id: " + id + "\r\nKnapweed-Reason: overloaded\r\n" + fields, "");
}

gateway::caller_request make_caller_request(const std::string& id = "7")
{
    gateway::caller_request request;
    request.method = "POST";
    request.target = "/orders/1?x=2";
    request.fields = {{"Host", "shop.example"}, {"X-Id", id},           {"X-Left", "4000"},
                      {"X-Server", "forged"},   {"X-Other", "kept"},    {"Connection", "X-Hop"},
                      {"X-Hop", "1"},           {"knapweed-sends", "9"}};
    request.body = "hello";
    request.caller = "192.0.2.1";
    return request;
}

/** An instance that relays requests to one other, which a script plays. */
class relaying_instance {
public:
    explicit relaying_instance(std::function<scripted_reply(const std::string&)> script)
        : other(std::move(script))
    {}

    /** Relays one request. @param time_limit of the request. */
    steering::relay_result relay(const gateway::caller_request& request = make_caller_request(),
                                 core::milliseconds time_limit = std::chrono::seconds(5))
    {
        const steering::relay_step step{core::instance_id{"other"},
                                        address.empty() ? other.address() : address, time.now() + time_limit,
                                        3, std::chrono::seconds(4)};
        upstream.emplace(io.get_executor(), connections, dialect, std::string(request.field("X-Id")));
        std::optional<net::time_limit> limit;
        limit.emplace(io.get_executor(), time_limit, [this] { upstream->time_out(); });
        std::optional<steering::relay_result> result;
        boost::asio::co_spawn(io, sender.relay(step, request, *upstream),
                              [&](const std::exception_ptr& error, steering::relay_result ended) {
                                  REQUIRE_FALSE(error);
                                  result = ended;
                                  limit.reset();
                              });
        io.restart();
        io.run();
        REQUIRE(result);
        return *result;
    }

    upstream_fake other;
    std::string address; ///< instead of that of the other instance
    core::boot_clock time;
    boost::asio::io_context io{1};
    gateway::gateway_metrics metrics;
    gateway::http_dialect dialect = test_dialect();
    net::connection_pool connections{io.get_executor(), std::chrono::seconds(4), metrics, time};
    gateway::relay_sender sender{core::instance_id{"own"}, dialect, time};
    std::optional<gateway::upstream_exchange> upstream;
};

} // namespace

// Guards against an outcome of a relay that is reported as certain without proof.
TEST_CASE("only a signed answer is passed on by a relay, and only the other instance's refusal means not run")
{
    const gateway::answer_facts signed_answer{200, true, true, true, false, false, false, false};
    CHECK(classify_relayed_answer(signed_answer) == relay_outcome::answered);
    auto facts = signed_answer;
    facts.status = 503;
    CHECK(classify_relayed_answer(facts) == relay_outcome::answered);
    facts.encoded = true;
    CHECK(classify_relayed_answer(facts) == relay_outcome::unknown);
    facts = signed_answer;
    facts.matches_request = false;
    CHECK(classify_relayed_answer(facts) == relay_outcome::unknown);

    const gateway::answer_facts own_answer{0, true, true, false, false, false, false, true};
    for (const unsigned status : {503, 429, 404, 421, 400, 408, 413, 431}) {
        facts = own_answer;
        facts.status = status;
        CHECK(classify_relayed_answer(facts) == relay_outcome::refused);
        facts.states_reason = false;
        CHECK(classify_relayed_answer(facts) == relay_outcome::unknown);
        facts = own_answer;
        facts.status = status;
        facts.has_request_id = facts.matches_request = false;
        CHECK(classify_relayed_answer(facts) == relay_outcome::unknown);
    }
    for (const unsigned status : {200, 204, 302, 500, 502, 504}) {
        facts = own_answer;
        facts.status = status;
        CHECK(classify_relayed_answer(facts) == relay_outcome::unknown);
    }
}

// Guards against a relayed request that the other instance can't identify, limit in time or count.
TEST_CASE("a relayed request has the caller's head and body, the time left and the internal fields")
{
    relaying_instance instance([](const auto&) { return scripted_reply{make_signed_reply("7", "whole")}; });
    CHECK(instance.relay().outcome == relay_outcome::answered);
    CHECK(instance.upstream->buffered_body() == "whole");
    CHECK(instance.upstream->connection().field("X-Seal") == "sealed");
    const auto relayed = instance.other.requests().front();
    CHECK(relayed.starts_with("POST /orders/1?x=2 HTTP/1.1\r\n"));
    CHECK(relayed.ends_with("\r\n\r\nhello"));
    for (const auto* line : {"Host: shop.example\r\n", "X-Id: 7\r\n", "X-Other: kept\r\n",
                             "Knapweed-Relay: own;192.0.2.1\r\n", "Knapweed-Sends: 3\r\n"})
        CHECK(contains(relayed, line));
    for (const auto* part : {"X-Server", "X-Hop", "knapweed-sends"})
        CHECK_FALSE(contains(relayed, part));
    const auto time_left = std::stoi(relayed.substr(relayed.find("X-Left: ") + 8, 4));
    CHECK(time_left > 4000);
    CHECK(time_left <= 5000);
}

// Guards against a large answer that a relay reads whole before the caller receives any of it.
TEST_CASE("a large answer is passed on before it is complete")
{
    const std::string large(100000, 'x');
    relaying_instance instance([&](const auto&) {
        auto reply = make_signed_reply("7", large);
        return scripted_reply{reply.substr(0, 50000), false, true};
    });
    CHECK(instance.relay().outcome == relay_outcome::answered);
    CHECK_FALSE(instance.upstream->buffered_whole());
}

// Guards against an answer of something else at the address that is taken for a server's.
TEST_CASE("an unsigned success from the other instance is never passed on")
{
    for (const auto* fields : {"X-Id: 7\r\n", "X-Id: 7\r\nKnapweed-Reason: x\r\n", "X-Seal: sealed\r\n",
                               "X-Id: 7\r\nX-Seal: s\r\nContent-Encoding: gzip\r\n"}) {
        relaying_instance instance(
            [&](const auto&) { return scripted_reply{make_reply("200 OK", fields, "forged")}; });
        CHECK(instance.relay().outcome == relay_outcome::unknown);
    }
}

// Guards against a request that is refused although the other instance may have run it, and the reverse.
TEST_CASE("a refusal of the other instance means not run, and a failure means unknown")
{
    relaying_instance refusing([](const auto&) {
        return scripted_reply{make_instance_reply("503 Not served", "7", "Retry-After: 0.250\r\n")};
    });
    const auto refused = refusing.relay();
    CHECK(refused.outcome == relay_outcome::refused);
    CHECK(refused.retry_after == core::milliseconds(250));
    for (const auto* status : {"502 Not served", "504 Not served"}) {
        relaying_instance failing(
            [&](const auto&) { return scripted_reply{make_instance_reply(status, "7", "")}; });
        CHECK(failing.relay().outcome == relay_outcome::unknown);
    }
}

// Guards against a request that is sent again although the other instance may have received it.
TEST_CASE("a relayed request whose connection breaks after it was sent has an unknown outcome")
{
    relaying_instance instance([](const auto&) { return scripted_reply{"", true}; });
    CHECK(instance.relay().outcome == relay_outcome::unknown);
    CHECK(instance.other.requests().size() == 1);

    relaying_instance truncating([](const auto&) {
        return scripted_reply{"HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Seal: s\r\nContent-Length: 9\r\n\r\nhalf",
                              true};
    });
    CHECK(truncating.relay().outcome == relay_outcome::unknown);
}

// Guards against a request that is given up although nothing of it was sent.
TEST_CASE("a relay to an address that accepts no connections sent nothing")
{
    relaying_instance instance([](const auto&) { return scripted_reply{}; });
    instance.address = "127.0.0.1:1";
    const auto refused = instance.relay();
    CHECK(refused.outcome == relay_outcome::not_sent);
    CHECK(refused.unreachable);
    instance.address = "not an address";
    CHECK(instance.relay().outcome == relay_outcome::not_sent);
}

// Guards against a caller that waits for an instance that is silent, and against work that nobody waits for.
TEST_CASE("a relay ends with the time limit of its request, and its connection is closed")
{
    relaying_instance instance([](const auto&) { return scripted_reply{"", false, true}; });
    CHECK(instance.relay(make_caller_request(), core::milliseconds(300)).outcome == relay_outcome::timed_out);
    CHECK(instance.other.wait_for_closed(1));
}

// Guards against connections between instances that are opened for each request.
TEST_CASE("the connection to another instance is used again after an answer")
{
    relaying_instance instance([](const std::string& request) {
        return scripted_reply{make_signed_reply(contains(request, "X-Id: 7\r\n") ? "7" : "8", "whole")};
    });
    CHECK(instance.relay().outcome == relay_outcome::answered);
    instance.upstream->release();
    CHECK(instance.relay(make_caller_request("8")).outcome == relay_outcome::answered);
    CHECK(instance.upstream->connection().reused());
}

// Guards against a copy of an instance's refusal that is taken for its answer to the same request.
TEST_CASE("a request is not relayed twice on one connection")
{
    relaying_instance instance([](const auto&) {
        auto reply = scripted_reply{make_instance_reply("503 Full", "7", "")};
        reply.before_next = reply.bytes;
        return reply;
    });
    CHECK(instance.relay().outcome == relay_outcome::refused);
    CHECK(instance.relay().outcome == relay_outcome::refused);
    CHECK(instance.upstream->place().request == 1);
    CHECK(instance.other.requests().size() == 2);
}
