#include "forwarding_fixture.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using namespace knapweed::test;

namespace {

bool is_request(const std::string& request, const std::string& id)
{
    return request.find("X-Id: " + id + "\r\n") != std::string::npos;
}

std::string refusal_of(const std::string& id)
{
    return make_reply("503 Full",
                      "X-Id: " + id + "\r\nX-Not-Run: 1\r\nRetry-After: 0.001\r\nKeep-Alive: timeout=10\r\n",
                      "no");
}

} // namespace

// Guards against an answer to a HEAD request that is waited for because its length is taken for that of a
// body.
TEST_CASE("the answer to a HEAD request has no body behind an interim answer either")
{
    forwarding_fixture fixture({[](const auto&) {
                                   return scripted_reply{
                                       "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: "
                                       "7\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\n"};
                               }},
                               false, core::milliseconds(1000));
    test_client client(fixture.port());
    client.send(make_request("7", "HEAD", "Connection: close\r\n"));
    const auto answer = client.read_to_end();
    INFO(answer);
    CHECK(answer.starts_with("HTTP/1.1 200"));
}

// Guards against a HEAD request that fails because the body of a copy before its answer is not skipped.
TEST_CASE("the body of a copy is not read as the answer to a HEAD request")
{
    std::atomic<int> ran = 0;
    forwarding_fixture fixture(
        {[&](const std::string& request) {
            if (is_request(request, "6")) {
                scripted_reply reply{refusal_of("6")};
                reply.before_next = refusal_of("6");
                return reply;
            }
            ++ran;
            return scripted_reply{"HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\n"};
        }},
        false, core::milliseconds(1000));
    test_client client(fixture.port());
    client.send(make_request("6", "POST"));
    REQUIRE(client.read_answer().starts_with("HTTP/1.1 503"));
    std::this_thread::sleep_for(std::chrono::milliseconds(20)); // stated by the refusal
    client.send(make_request("7", "HEAD", "Connection: close\r\n"));
    const auto answer = client.read_to_end();
    INFO("ran " << ran << ", " << answer);
    CHECK(answer.starts_with("HTTP/1.1 200"));
}

// Guards against an answer that is skipped as the body of a copy of the refusal of a HEAD request.
TEST_CASE("the copy of a refusal of a HEAD request is not taken for the answer to the next request")
{
    std::atomic<int> ran = 0;
    forwarding_fixture fixture({[&](const std::string& request) {
                                   if (is_request(request, "6")) {
                                       auto head = refusal_of("6");
                                       head.resize(head.size() - 2);
                                       scripted_reply reply{head};
                                       reply.before_next = head;
                                       return reply;
                                   }
                                   ++ran;
                                   return scripted_reply{make_signed_reply("7", "whole")};
                               }},
                               false, core::milliseconds(1000));
    test_client client(fixture.port());
    client.send(make_request("6", "HEAD"));
    REQUIRE(client.read_answer().starts_with("HTTP/1.1 503"));
    std::this_thread::sleep_for(std::chrono::milliseconds(20)); // stated by the refusal
    test_client second(fixture.port());
    second.send(make_request("7", "POST"));
    const auto answer = second.read_answer();
    INFO("requests " << fixture.server(0).requests().size() << ", ran " << ran << ", " << answer);
    CHECK(answer.starts_with("HTTP/1.1 200"));
}
