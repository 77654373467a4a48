#include "forwarding_fixture.h"

#include <catch2/catch.hpp>
#include <deque>

using namespace knapweed;
using namespace knapweed::test;

namespace {

constexpr std::size_t megabyte = 1U << 20U;
/** Of 5 MB for all bodies, these leave room for one large one and for small ones. */
constexpr body_sizes narrow_memory{4 * megabyte, 10 * megabyte};
constexpr std::size_t large_body_bytes = 3 * megabyte;

/** @returns the head of a request whose body is to follow. @param framing the field that states its end. */
std::string make_head(const std::string& id, const std::string& framing)
{
    return make_request(id, "POST", framing);
}

std::string make_head(const std::string& id, std::size_t body_bytes)
{
    return make_head(id, "Content-Length: " + std::to_string(body_bytes) + "\r\n");
}

std::string make_chunk(std::size_t bytes)
{
    std::array<char, 32> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes);
    return size.data() + std::string(bytes, 'x') + "\r\n";
}

scripted_reply reply_to(const std::string& request)
{
    const auto begin = request.find("X-Id: ") + 6;
    return {make_signed_reply(request.substr(begin, request.find("\r\n", begin) - begin), "done")};
}

bool is_refusal(const std::string& answer)
{
    return answer.starts_with("HTTP/1.1 503") && answer.find("no_body_space") != std::string::npos &&
           answer.find("Connection: close") != std::string::npos;
}

bool states_retry_time(const std::string& answer)
{
    return answer.find("Retry-After: 0.") != std::string::npos;
}

/** Waits until the claimed bytes meet a condition. @returns false after 20 s. */
bool wait_for_claimed(forwarding_fixture& fixture, const std::function<bool(std::uint64_t)>& condition)
{
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    bool met = false;
    while (!met && std::chrono::steady_clock::now() < limit) {
        fixture.run_on_gateway_thread([&] { met = condition(fixture.bodies().claimed()); });
        if (!met)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return met;
}

bool wait_until_unclaimed(forwarding_fixture& fixture)
{
    return wait_for_claimed(fixture, [](std::uint64_t bytes) { return bytes == 0; });
}

/** A caller that has sent the first bytes of a large body, whose memory is claimed. */
struct slow_caller {
    slow_caller(forwarding_fixture& fixture, std::size_t body_bytes, std::size_t sent_bytes = 1)
        : client(fixture.port())
    {
        client.send(make_head("slow", body_bytes) + std::string(sent_bytes, 'x'));
        REQUIRE(wait_for_claimed(fixture, [body_bytes](std::uint64_t bytes) { return bytes >= body_bytes; }));
    }

    test_client client;
};

} // namespace

// Guards against an instance that is killed because several callers send large bodies at once.
TEST_CASE("of several callers with large bodies at once, those whose bodies don't fit are refused")
{
    forwarding_fixture fixture({reply_to}, false, core::milliseconds(5000), 2, narrow_memory);
    const auto part = std::string(large_body_bytes / 2, 'x');
    std::deque<test_client> clients;
    for (int i = 0; i < 5; ++i) {
        clients.emplace_back(fixture.port());
        clients.back().send(make_head(std::to_string(i), large_body_bytes) + part);
    }
    int served = 0;
    int refused = 0;
    for (auto& client : clients) {
        client.send(part);
        const auto answer = client.read_answer();
        served += answer.ends_with("done") ? 1 : 0;
        refused += is_refusal(answer) && states_retry_time(answer) ? 1 : 0;
    }
    CHECK(served == 1);
    CHECK(refused == 4);
    CHECK(fixture.requests_at_servers() == 1);
}

// Guards against bodies in chunks, which state no length, that grow beyond the memory.
TEST_CASE("a body in chunks is refused when it no longer fits")
{
    forwarding_fixture fixture({reply_to}, false, core::milliseconds(5000), 2, narrow_memory);
    slow_caller first(fixture, large_body_bytes, large_body_bytes / 2);
    test_client chunked(fixture.port());
    chunked.send(make_head("7", "Transfer-Encoding: chunked\r\n") + make_chunk(large_body_bytes) +
                 "0\r\n\r\n");
    CHECK(is_refusal(chunked.read_answer()));
    first.client.send(std::string(large_body_bytes / 2, 'x'));
    CHECK(first.client.read_answer().ends_with("done"));
    test_client alone(fixture.port());
    alone.send(make_head("8", "Transfer-Encoding: chunked\r\n") + make_chunk(large_body_bytes / 2) +
               "0\r\n\r\n");
    CHECK(alone.read_answer().ends_with("done"));
}

// Guards against small requests that large bodies keep out.
TEST_CASE("small bodies are served while a large one occupies the memory for large ones")
{
    forwarding_fixture fixture({reply_to}, false, core::milliseconds(5000), 2, narrow_memory);
    const slow_caller first(fixture, 4 * megabyte);
    test_client large(fixture.port());
    large.send(make_head("7", megabyte) + std::string(megabyte, 'x'));
    CHECK(is_refusal(large.read_answer()));
    for (int i = 0; i < 20; ++i) {
        test_client small(fixture.port());
        small.send(make_request(std::to_string(i), "POST", "", std::string(60000, 'x')));
        CHECK(small.read_answer().ends_with("done"));
    }
}

// Guards against a body that is read although it can't fit even alone, and against a time to come back for
// it.
TEST_CASE("a stated length that can never fit is refused before the body is sent")
{
    forwarding_fixture fixture({reply_to}, false, core::milliseconds(5000), 2,
                               {16 * megabyte, 10 * megabyte});
    test_client client(fixture.port());
    client.send(
        make_head("7", "Expect: 100-continue\r\nContent-Length: " + std::to_string(8 * megabyte) + "\r\n"));
    const auto answer = client.read_answer();
    CHECK(is_refusal(answer));
    CHECK_FALSE(states_retry_time(answer));
}

// Guards against a caller that occupies the memory for bodies by sending slowly.
TEST_CASE("a body that arrives too slowly gives its memory to another one")
{
    forwarding_fixture fixture({reply_to}, false, core::milliseconds(5000), 2, narrow_memory);
    slow_caller slow(fixture, large_body_bytes);
    std::string answer;
    for (int i = 0; i < 50 && !answer.ends_with("done"); ++i) {
        test_client client(fixture.port());
        client.send(make_request("7", "POST", "", std::string(large_body_bytes, 'x')));
        answer = client.read_answer();
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        fixture.tick();
    }
    CHECK(answer.ends_with("done"));
    CHECK(is_refusal(slow.client.read_answer()));
}

// Guards against memory for bodies that is not given back, whatever ends their requests.
TEST_CASE("after requests were answered, refused or left, nothing of the memory for bodies is claimed")
{
    forwarding_fixture fixture({reply_to}, false, core::milliseconds(5000), 2, narrow_memory);
    for (int i = 0; i < 3; ++i) {
        slow_caller leaving(fixture, large_body_bytes);
        test_client refused(fixture.port());
        refused.send(make_request("7", "POST", "", std::string(large_body_bytes, 'x')));
        CHECK(is_refusal(refused.read_answer()));
        leaving.client.close();
        REQUIRE(wait_until_unclaimed(fixture));
        test_client served(fixture.port());
        served.send(make_request("8", "POST", "", std::string(large_body_bytes, 'x')));
        CHECK(served.read_answer().ends_with("done"));
        REQUIRE(wait_until_unclaimed(fixture));
    }
}

// Guards against a refusal that another instance, which relayed the request, doesn't take for one.
TEST_CASE("a relayed request whose body doesn't fit is refused with a reason")
{
    forwarding_fixture fixture({reply_to}, false, core::milliseconds(5000), 2, narrow_memory);
    const slow_caller first(fixture, large_body_bytes);
    test_client relaying(fixture.relay_port());
    relaying.send(make_head("7", "Knapweed-Relay: j;127.0.0.1\r\nKnapweed-Sends: 1\r\nContent-Length: " +
                                     std::to_string(large_body_bytes) + "\r\n") +
                  std::string(large_body_bytes, 'x'));
    const auto answer = relaying.read_answer();
    CHECK(is_refusal(answer));
    CHECK(answer.find("X-Id: 7\r\n") != std::string::npos);
}
