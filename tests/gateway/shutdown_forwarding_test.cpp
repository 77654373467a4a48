#include "forwarding_fixture.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using namespace knapweed::test;

namespace {

std::string id_of(const std::string& request)
{
    const auto begin = request.find("X-Id: ") + 6;
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

std::string make_order(const std::string& id, core::milliseconds time_limit)
{
    return "POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: " + id +
           "\r\nX-Left: " + std::to_string(time_limit.count()) + "\r\n\r\n";
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

/** Holds the answers of servers back until it is opened. */
class gate {
public:
    void open() { open_ = true; }
    void wait() const
    {
        while (!open_)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }

private:
    std::atomic<bool> open_ = false;
};

std::function<scripted_reply(const std::string&)> answer_behind(const gate& answers)
{
    return [&answers](const std::string& request) {
        answers.wait();
        return scripted_reply{make_signed_reply(id_of(request), "answer to " + id_of(request))};
    };
}

/** @returns whether a number of requests reach the servers within the time that they need on loopback. */
bool reach_servers(const forwarding_fixture& fixture, std::size_t number)
{
    constexpr std::chrono::milliseconds longest_way{200};
    const auto limit = std::chrono::steady_clock::now() + longest_way;
    while (fixture.requests_at_servers() < number && std::chrono::steady_clock::now() < limit)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    return fixture.requests_at_servers() >= number;
}

} // namespace

// Guards against orders that are passed on late in a planned stop and cut at the exit.
TEST_CASE("a request that may outlast the exit is refused in a planned stop and reaches no server")
{
    forwarding_fixture fixture({[](const auto&) { return scripted_reply{make_signed_reply("7", "done")}; }},
                               false);
    fixture.begin_shutdown(core::milliseconds(5200));
    test_client late(fixture.port());
    late.send(make_order("6", core::milliseconds(4900)));
    const auto refusal = late.read_to_end();
    CHECK(refusal.starts_with("HTTP/1.1 503"));
    CHECK(contains(refusal, "Retry-After: "));
    CHECK(fixture.requests_at_servers() == 0);
    test_client in_time(fixture.port());
    in_time.send(make_order("7", core::milliseconds(4300)));
    CHECK(in_time.read_to_end().starts_with("HTTP/1.1 200"));
}

// Guards against requests of other instances that are cut at the exit of the one that they are relayed to.
TEST_CASE("a relayed request that may outlast the exit is refused in a planned stop")
{
    forwarding_fixture fixture({[](const auto&) { return scripted_reply{make_signed_reply("7", "done")}; }});
    fixture.begin_shutdown(core::milliseconds(3000));
    test_client client(fixture.relay_port());
    client.send(make_request("7", "GET", "Knapweed-Relay: other\r\nKnapweed-Sends: 1\r\n"));
    CHECK(client.read_to_end().starts_with("HTTP/1.1 503"));
    CHECK(fixture.requests_at_servers() == 0);
}

// Guards against connections that always have a request unanswered and are cut with it at the exit.
TEST_CASE("a planned stop closes a connection whose caller sends further requests before it is answered")
{
    gate answers;
    forwarding_fixture fixture({answer_behind(answers)});
    test_client client(fixture.port());
    client.send(make_request("1") + make_request("2"));
    CHECK(fixture.server(0).wait_for_requests(2));
    fixture.begin_shutdown();
    client.send(make_request("3"));
    CHECK_FALSE(reach_servers(fixture, 3));
    answers.open();
    const auto text = client.read_to_end();
    CHECK(contains(text, "answer to 1"));
    CHECK(contains(text, "Connection: close\r\n"));
    CHECK(text.ends_with("answer to 2"));
    CHECK(fixture.requests_at_servers() == 2);
}

// Guards against requests that are passed on although an answer has announced that their connection closes.
TEST_CASE("a request behind an answer that closes its connection is not passed on")
{
    const std::string large_body(300000, 'x');
    forwarding_fixture fixture({[&large_body](const std::string& request) {
        scripted_reply reply{make_signed_reply(id_of(request), large_body)};
        reply.bytes_per_second = 300000;
        return reply;
    }});
    fixture.begin_shutdown();
    test_client client(fixture.port());
    client.send(make_request("1"));
    const auto first_bytes = client.count_bytes(1);
    client.send(make_request("2"));
    CHECK_FALSE(reach_servers(fixture, 2));
    const auto rest = client.read_to_end();
    CHECK(first_bytes + rest.size() > large_body.size());
    CHECK(fixture.requests_at_servers() == 1);
}
