#include "net/http_client.h"

#include "core/boot_clock.h"
#include "net/upstream_fake.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace knapweed;
using namespace knapweed::test;

namespace {

class ignored_counters final : public net::counter_sink {
public:
    void add(net::counter /*which*/, std::uint64_t /*amount*/) override {}
};

} // namespace

// Guards against a call that waits on one silent connection after the other, each for its whole time limit.
TEST_CASE("a call that times out on a kept connection is followed by one on a new connection")
{
    constexpr core::milliseconds limit_of_silent_call{300};
    constexpr core::milliseconds limit_of_answered_call{20000};
    constexpr std::size_t body_limit = 1000;
    std::atomic<bool> silent = false;
    upstream_fake server([&silent](const std::string&) {
        scripted_reply reply{make_reply("200 OK", "", "done")};
        if (silent)
            reply = {"", false, true};
        return reply;
    });
    core::boot_clock time;
    ignored_counters counters;
    boost::asio::io_context io;
    net::http_client client(io.get_executor(), std::chrono::seconds(10), counters, time);
    std::vector<net::fetch_result> results;
    const auto call = [&](int number, core::milliseconds time_limit) {
        results.clear();
        for (int i = 0; i < number; ++i) {
            net::outgoing_request request;
            request.method = "GET";
            request.target = "/";
            boost::asio::co_spawn(io,
                                  client.fetch(server.address(), std::move(request), time_limit, body_limit),
                                  [&results](const std::exception_ptr&, net::fetch_result result) {
                                      results.push_back(std::move(result));
                                  });
        }
        io.restart();
        io.run();
    };
    call(3, limit_of_answered_call); // opens three connections
    REQUIRE(results.back().status == net::fetch_status::answered);
    silent = true;
    call(1, limit_of_silent_call);
    REQUIRE(results.back().timed_out);
    silent = false;
    call(1, limit_of_answered_call);
    CHECK(results.back().status == net::fetch_status::answered);
    CHECK_FALSE(results.back().reused_connection);
}

// Guards against an interim answer that counts as a failed call, and against interim answers without end.
TEST_CASE("a call is answered by the final answer behind interim ones")
{
    constexpr core::milliseconds time_limit{20000};
    constexpr std::size_t body_limit = 1000;
    const std::string interim = "HTTP/1.1 102 Processing\r\n\r\n";
    const bool endless = GENERATE(false, true);
    upstream_fake server([&](const std::string&) {
        scripted_reply reply{interim + make_reply("200 OK", "", "done")};
        if (endless)
            reply.endless = reply.bytes = interim;
        return reply;
    });
    core::boot_clock time;
    ignored_counters counters;
    boost::asio::io_context io;
    net::http_client client(io.get_executor(), std::chrono::seconds(10), counters, time);
    net::outgoing_request request;
    request.method = "GET";
    request.target = "/";
    net::fetch_result answer;
    boost::asio::co_spawn(
        io, client.fetch(server.address(), std::move(request), time_limit, body_limit),
        [&answer](const std::exception_ptr&, net::fetch_result result) { answer = std::move(result); });
    io.run();
    CHECK(answer.status == (endless ? net::fetch_status::lost : net::fetch_status::answered));
    CHECK(answer.body == (endless ? "" : "done"));
}
