#include "forwarding_fixture.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using namespace knapweed::test;

namespace {

constexpr std::size_t megabyte = 1U << 20U;

const std::string chunked_head =
    "POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string signed_chunked_head =
    "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Seal: sealed\r\nTransfer-Encoding: chunked\r\n\r\n";

/** @returns the status line and the rest of the answer to a request whose bytes go on after what the gateway
   may read of them. An instance that keeps reading gives no answer before the end of the connection. */
std::string answer_to(const std::string& request)
{
    forwarding_fixture fixture(
        {[](const auto&) { return scripted_reply{make_signed_reply("7", "whole body")}; }});
    test_client client(fixture.port());
    client.send(request);
    client.finish_sending();
    auto answer = client.read_to_end();
    CHECK(fixture.requests_at_servers() == 0);
    return answer;
}

/** @returns the answer to a request that must not be repeated, from a server that sends @p endless without
   end after @p first. Only an answer before the time limit is a 502; a gateway that keeps reading answers
   504. */
std::string answer_from_server(const std::string& first, const std::string& endless)
{
    forwarding_fixture fixture({[&](const auto&) {
                                   scripted_reply reply;
                                   reply.bytes = first;
                                   reply.endless = endless;
                                   return reply;
                               }},
                               false);
    test_client client(fixture.port());
    client.send(make_request("7", "POST"));
    auto answer = client.read_answer();
    CHECK(fixture.server(0).wait_for_closed(1));
    fixture.run_on_gateway_thread([&fixture] { CHECK(fixture.failure_share_of(0) > 0); });
    return answer;
}

} // namespace

// Guards against a caller that exhausts the memory of an instance with a chunk extension without end.
TEST_CASE("a request with an endless chunk extension is answered with 400")
{
    REQUIRE(answer_to(chunked_head + "5;name=" + std::string(8 * megabyte, 'x')).starts_with("HTTP/1.1 400"));
}

// Guards against a caller that exhausts the memory of an instance with trailers without end.
TEST_CASE("a request with an endless trailer is answered with 400")
{
    REQUIRE(answer_to(chunked_head + "0\r\nX-Trailer: " + std::string(8 * megabyte, 'x'))
                .starts_with("HTTP/1.1 400"));
    std::string trailers;
    while (trailers.size() < 8 * megabyte)
        trailers += "X-Trailer: " + std::string(1000, 'x') + "\r\n";
    REQUIRE(answer_to(chunked_head + "0\r\n" + trailers).starts_with("HTTP/1.1 400"));
}

// Guards against a caller that sends framing instead of a body until its time limit.
TEST_CASE("a request whose chunk extensions are long compared with its body is answered with 400")
{
    std::string chunks;
    while (chunks.size() < 8 * megabyte)
        chunks += "1;" + std::string(30000, 'x') + "\r\na\r\n";
    REQUIRE(answer_to(chunked_head + chunks).starts_with("HTTP/1.1 400"));
}

// Guards against limits on framing that reject a body in the smallest chunks.
TEST_CASE("a body in chunks of one byte with extensions and trailers of usual size is forwarded")
{
    forwarding_fixture fixture(
        {[](const auto&) { return scripted_reply{make_signed_reply("7", "whole body")}; }});
    test_client client(fixture.port());
    std::string chunks;
    for (int i = 0; i < 4000; ++i)
        chunks += "1;n\r\na\r\n";
    client.send(chunked_head + chunks + "0\r\nX-Trailer: " + std::string(1000, 'x') + "\r\n\r\n");
    REQUIRE(client.read_answer().ends_with("whole body"));
    REQUIRE(fixture.server(0).requests().front().ends_with(std::string(4000, 'a')));
}

// Guards against a server that keeps an instance reading, and exhausts its memory, until the time limit.
TEST_CASE("an attempt ends when its server sends bytes without end that are no answer")
{
    const std::string filler(65536, 'x');
    SECTION("no HTTP at all")
    {
        REQUIRE(answer_from_server("", filler).starts_with("HTTP/1.1 502"));
    }
    SECTION("a status line without end")
    {
        REQUIRE(answer_from_server("HTTP/1.1 200 ", filler).starts_with("HTTP/1.1 502"));
    }
    SECTION("header fields without end")
    {
        REQUIRE(answer_from_server("HTTP/1.1 200 OK\r\n", "X-Filler: " + std::string(1000, 'x') + "\r\n")
                    .starts_with("HTTP/1.1 502"));
    }
    SECTION("interim answers without end")
    {
        REQUIRE(answer_from_server("", "HTTP/1.1 102 Processing\r\n\r\n").starts_with("HTTP/1.1 502"));
    }
    SECTION("an answer to another request without end")
    {
        REQUIRE(answer_from_server("HTTP/1.1 200 OK\r\nX-Id: 6\r\nX-Seal: s\r\n\r\n", filler)
                    .starts_with("HTTP/1.1 502"));
    }
    SECTION("a chunk extension without end")
    {
        REQUIRE(answer_from_server(signed_chunked_head + "5;name=", filler).starts_with("HTTP/1.1 502"));
    }
    SECTION("chunk extensions without end")
    {
        REQUIRE(answer_from_server(signed_chunked_head, "1;" + std::string(30000, 'x') + "\r\na\r\n")
                    .starts_with("HTTP/1.1 502"));
    }
    SECTION("a trailer without end")
    {
        REQUIRE(answer_from_server(signed_chunked_head + "1\r\na\r\n0\r\nX-Trailer: ", filler)
                    .starts_with("HTTP/1.1 502"));
    }
}

// Guards against an answer of unknown length that is passed on for as long as the caller reads.
TEST_CASE("an answer without a length and without end is broken off, so that it looks truncated")
{
    constexpr std::size_t more_than_any_answer = 128 * megabyte;
    forwarding_fixture fixture({[](const auto&) {
        scripted_reply reply;
        reply.bytes = signed_chunked_head;
        reply.endless = "10000\r\n" + std::string(65536, 'x') + "\r\n";
        return reply;
    }});
    test_client client(fixture.port());
    client.send(make_request("7"));
    REQUIRE(client.count_bytes(more_than_any_answer) < more_than_any_answer);
    REQUIRE(fixture.server(0).wait_for_closed(1));
}

// Guards against bytes after a complete answer that are taken as the answer to the next request.
TEST_CASE("a connection on which bytes follow a complete answer is not used again")
{
    std::atomic<int> requests = 0;
    forwarding_fixture fixture({[&requests](const std::string&) {
        scripted_reply reply;
        reply.bytes = make_signed_reply("7", "whole body");
        if (requests++ == 0) {
            reply.bytes += std::string(64, 'x'); // in the same segment, so that they arrive with the answer
            reply.endless = std::string(65536, 'x');
        }
        return reply;
    }});
    test_client client(fixture.port());
    for (int i = 0; i < 2; ++i) {
        client.send(make_request("7"));
        const auto answer = client.read_answer();
        CAPTURE(i, answer, fixture.requests_at_servers());
        REQUIRE(answer.ends_with("whole body"));
    }
    REQUIRE(fixture.server(0).wait_for_closed(1));
}

// Guards against bytes after an answer that arrive once its connection is in use for another request.
TEST_CASE("a request on a connection on which bytes follow late is answered by another server")
{
    std::atomic<int> requests = 0;
    const auto answer_with_late_bytes = [&requests](const std::string&) {
        scripted_reply reply;
        reply.bytes = make_signed_reply("7", "whole body");
        if (requests++ == 0)
            reply.endless = std::string(65536, 'x');
        return reply;
    };
    forwarding_fixture fixture({answer_with_late_bytes, answer_with_late_bytes});
    test_client client(fixture.port());
    for (int i = 0; i < 2; ++i) {
        client.send(make_request("7"));
        const auto answer = client.read_answer();
        CAPTURE(i, answer, fixture.requests_at_servers());
        REQUIRE(answer.ends_with("whole body"));
    }
}
