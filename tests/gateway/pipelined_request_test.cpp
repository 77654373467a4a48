#include "forwarding_fixture.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>

using namespace knapweed;
using namespace knapweed::test;

namespace {

constexpr std::size_t large_body_bytes = 200000;

std::string id_of(const std::string& request)
{
    const auto begin = request.find("X-Id: ") + 6;
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

/** @returns a request on a route whose answers are large. */
std::string make_download(const std::string& id)
{
    auto text = make_request(id);
    text.replace(text.find("/orders/"), 8, "/files/");
    return text;
}

bool is_download(const std::string& request)
{
    return request.starts_with("GET /files/");
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

/** @returns a large answer that breaks off in the middle of its body. */
scripted_reply broken_reply(const std::string& id)
{
    auto bytes = make_signed_reply(id, std::string(large_body_bytes, 'x'));
    bytes.resize(bytes.size() - large_body_bytes / 2);
    return {std::move(bytes), true};
}

} // namespace

// Guards against requests that are passed on behind a download and dropped with it.
TEST_CASE("requests behind a download that breaks off reach no server")
{
    forwarding_fixture fixture({[](const std::string& request) {
        return is_download(request) ? broken_reply(id_of(request))
                                    : scripted_reply{make_signed_reply(id_of(request), "short")};
    }});
    test_client client(fixture.port());
    client.send(make_download("1") + make_request("2") + make_request("3"));
    const auto text = client.read_to_end();
    CHECK(contains(text, "X-Id: 1\r\n"));
    CHECK_FALSE(contains(text, "short"));
    CHECK(fixture.requests_at_servers() == 1);
}

// Guards against requests behind a download that are never passed on.
TEST_CASE("requests behind a whole download are answered")
{
    forwarding_fixture fixture({[](const std::string& request) {
        return scripted_reply{make_signed_reply(
            id_of(request), is_download(request) ? std::string(large_body_bytes, 'x') : "short")};
    }});
    test_client client(fixture.port());
    client.send(make_download("1") + make_request("2") + make_download("3") + make_request("4"));
    CHECK(client.count_bytes(2 * large_body_bytes + 10) > 2 * large_body_bytes);
    CHECK(fixture.server(0).wait_for_requests(4));
}

// Guards against an answer of an ordinary route that breaks off in front of requests that servers run.
TEST_CASE("a large answer in front of requests that were passed on is written only when it is whole")
{
    std::atomic<int> broken = 0;
    const auto script = [&broken](const std::string& request) {
        const auto id = id_of(request);
        if (id != "1")
            return scripted_reply{make_signed_reply(id, "short " + id)};
        return broken++ == 0 ? broken_reply(id)
                             : scripted_reply{make_signed_reply(id, std::string(large_body_bytes, 'x'))};
    };
    forwarding_fixture fixture({script, script});
    test_client client(fixture.port());
    client.send(make_request("1") + make_request("2") + make_request("3", "GET", "Connection: close\r\n"));
    const auto text = client.read_to_end();
    CHECK(broken == 2);
    CHECK(contains(text, "short 2"));
    CHECK(text.ends_with("short 3"));
}

// Guards against requests that are passed on when the download before them ends, long after their caller has
// left, because the session has stopped reading.
TEST_CASE("requests of a caller that has left reach no server although more bytes of it are unread")
{
    constexpr int requests = 2000; // more than the session reads while so many are unanswered
    forwarding_fixture fixture({[](const std::string& request) {
        if (is_download(request))
            std::this_thread::sleep_for(std::chrono::milliseconds(500));
        return scripted_reply{make_signed_reply(id_of(request), "short")};
    }});
    test_client client(fixture.port());
    auto text = make_download("1");
    for (int i = 2; i <= requests; ++i)
        text += make_request(std::to_string(i));
    client.send(text);
    REQUIRE(fixture.server(0).wait_for_requests(1));
    client.close();
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    CHECK(fixture.requests_at_servers() == 1);
}

// Guards against requests that wait for each other although none of them can take another along.
TEST_CASE("requests whose answers are written as a whole run beside each other")
{
    std::atomic<bool> second_arrived = false;
    forwarding_fixture fixture({[&](const std::string& request) {
        second_arrived = second_arrived || id_of(request) == "2";
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(3);
        while (!second_arrived && std::chrono::steady_clock::now() < limit)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        return scripted_reply{make_signed_reply(id_of(request), second_arrived ? "beside" : "alone")};
    }});
    test_client client(fixture.port());
    client.send(make_request("1") + make_request("2", "GET", "Connection: close\r\n"));
    CHECK_FALSE(contains(client.read_to_end(), "alone"));
}

// Guards against an order of events in which a request is passed on behind an answer that may still break
// off.
TEST_CASE("no request is passed on behind one whose answer is written in parts, in random schedules")
{
    constexpr int schedules = 300;
    constexpr int steps = 200;
    struct open_request {
        gateway::pass_on_order::request_number number;
        bool passed_on = false;
        bool in_parts = false;
    };
    for (int seed = 0; seed < schedules; ++seed) {
        core::random_source random(static_cast<std::uint64_t>(seed));
        gateway::pass_on_order order;
        std::deque<open_request> requests;
        for (int step = 0; step < steps; ++step) {
            if (requests.empty() || random.below(3) == 0)
                requests.push_back({order.add()});
            const auto index = static_cast<std::ptrdiff_t>(random.below(requests.size()));
            auto& request = requests.at(static_cast<std::size_t>(index));
            const bool free =
                std::all_of(requests.begin(), requests.begin() + index,
                            [](const auto& earlier) { return earlier.passed_on && !earlier.in_parts; });
            REQUIRE(order.may_pass_on(request.number) == free);
            const bool any_behind = std::any_of(requests.begin() + index + 1, requests.end(),
                                                [](const auto& later) { return later.passed_on; });
            REQUIRE(order.any_begun_behind(request.number) == any_behind);
            if (free && !request.passed_on) {
                request.passed_on = true;
                request.in_parts = random.below(3) == 0;
                order.begin(request.number, request.in_parts);
            }
            if (requests.front().passed_on && random.below(4) == 0) {
                requests.pop_front();
                order.remove_first();
            }
        }
    }
}
