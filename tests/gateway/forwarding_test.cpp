#include "forwarding_fixture.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using namespace knapweed::test;

namespace {

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

std::string id_in(const std::string& request)
{
    const auto at = request.find("X-Id: ") + 6;
    return request.substr(at, request.find("\r\n", at) - at);
}

scripted_reply answer_well(const std::string& request)
{
    return {sealed_reply(id_in(request), "whole body")};
}

} // namespace

// Guards against a request that is changed on its way, and against fields of one connection that are passed
// on.
TEST_CASE("a request and its answer pass through unchanged")
{
    forwarding_fixture fixture({answer_well});
    test_client client(fixture.port());
    client.send(make_request(
        "7", "POST", "X-Other: kept\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-Server: forged\r\n", "hello"));
    const auto answer = client.read_answer();
    REQUIRE(answer.starts_with("HTTP/1.1 200 OK\r\n"));
    REQUIRE(contains(answer, "X-Seal: sealed\r\n"));
    REQUIRE(answer.ends_with("whole body"));
    const auto seen = fixture.server(0).requests().front();
    REQUIRE(seen.starts_with("POST /orders/1?x=2 HTTP/1.1\r\n"));
    REQUIRE(seen.ends_with("hello"));
    REQUIRE(contains(seen, "X-Other: kept\r\n"));
    REQUIRE(contains(seen, "X-Server: s0\r\n"));
    REQUIRE_FALSE(contains(seen, "forged"));
    REQUIRE_FALSE(contains(seen, "X-Hop"));
    const auto left = seen.substr(seen.find("X-Left: ") + 8, 4);
    REQUIRE(std::stoi(left) <= 4000);
}

// Guards against passing on what the server did not sign.
TEST_CASE("an answer without the server's seal, with another id or encoded is never passed on")
{
    const std::vector<std::string> forged{
        make_reply("200 OK", "X-Id: 7\r\n", "forged"), make_reply("200 OK", "X-Seal: sealed\r\n", "forged"),
        make_reply("200 OK", "X-Id: 7\r\nX-Seal: s\r\nContent-Encoding: gzip\r\n", "forged")};
    for (const auto& reply : forged) {
        forwarding_fixture fixture({[&reply](const auto&) { return scripted_reply{reply}; }}, false);
        test_client client(fixture.port());
        client.send(make_request("7", "POST"));
        const auto answer = client.read_answer();
        REQUIRE(answer.starts_with("HTTP/1.1 502"));
        REQUIRE_FALSE(contains(answer, "forged"));
        REQUIRE(fixture.requests_at_servers() == 1);
    }
}

// Guards against an answer that reaches the caller of another request.
TEST_CASE("a late answer to another request is skipped and the own one passed on")
{
    forwarding_fixture fixture({[](const auto& request) {
        return scripted_reply{sealed_reply("older", "not yours") + sealed_reply(id_in(request), "yours")};
    }});
    test_client client(fixture.port());
    client.send(make_request("7"));
    REQUIRE(client.read_answer().ends_with("yours"));
}

// Guards against a request that runs twice, and against "not run" for one that may have run.
TEST_CASE("a lost connection is an unknown outcome for a request that must not run twice")
{
    const auto lose = [](const auto&) { return scripted_reply{"", true}; };
    forwarding_fixture fixture({lose, lose}, false);
    test_client client(fixture.port());
    client.send(make_request("7", "POST"));
    REQUIRE(client.read_answer().starts_with("HTTP/1.1 502"));
    REQUIRE(fixture.requests_at_servers() == 1);
}

// Guards against half an answer that looks whole.
TEST_CASE("an answer that breaks off is asked for again elsewhere, or its connection ends early")
{
    const std::string half =
        "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Seal: sealed\r\nContent-Length: 100\r\n\r\nhalf";
    std::atomic<int> asked = 0;
    const auto flaky = [&](const std::string& request) {
        return asked++ == 0 ? scripted_reply{half, true} : answer_well(request);
    };
    forwarding_fixture fixture({flaky, flaky});
    test_client client(fixture.port());
    client.send(make_request("7"));
    REQUIRE(client.read_answer().ends_with("whole body"));

    const std::string large(60000, 'x');
    forwarding_fixture streaming({[&large](const auto& request) {
        auto reply = sealed_reply(id_in(request), large);
        return scripted_reply{reply.substr(0, reply.size() - 100), true};
    }});
    test_client reader(streaming.port());
    reader.send(make_request("8"));
    REQUIRE(reader.read_to_end().size() < large.size());
}

// Guards against answers without a length that are lost or never end.
TEST_CASE("an answer that ends with its connection is passed on in chunks")
{
    forwarding_fixture fixture({[](const auto& request) {
        return scripted_reply{"HTTP/1.1 200 OK\r\nX-Id: " + id_in(request) + "\r\nX-Seal: s\r\n\r\n" +
                                  std::string(50000, 'y'),
                              true};
    }});
    test_client client(fixture.port());
    client.send(make_request("7", "GET", "Connection: close\r\n"));
    const auto answer = client.read_to_end();
    REQUIRE(contains(answer, "Transfer-Encoding: chunked\r\n"));
    REQUIRE(answer.ends_with("0\r\n\r\n"));
}

// Guards against a refusal that does not say when to come back, and against one that is false.
TEST_CASE("a request that no server ran is refused with the time to come back")
{
    const auto shed = [](const auto&) {
        return scripted_reply{make_reply("503 Full", "X-Not-Run: 1\r\n", "")};
    };
    forwarding_fixture fixture({shed, shed}, false);
    test_client client(fixture.port());
    client.send(make_request("7", "POST"));
    const auto answer = client.read_answer();
    REQUIRE(answer.starts_with("HTTP/1.1 503"));
    REQUIRE(contains(answer, "Retry-After: 0."));
    REQUIRE(contains(answer, "X-Id: 7\r\n"));
    REQUIRE_FALSE(contains(answer, "X-Seal"));
    REQUIRE(fixture.requests_at_servers() == 2);
}

// Guards against a server that has the address of another one.
TEST_CASE("a request that reaches the wrong server goes to another one")
{
    const auto wrong = [](const std::string& request) {
        return contains(request, "X-Server: s0") ? scripted_reply{make_reply("421 Misdirected", "", "")}
                                                 : answer_well(request);
    };
    forwarding_fixture fixture({wrong, wrong}, false);
    test_client client(fixture.port());
    for (const auto* id : {"1", "2", "3", "4"}) {
        client.send(make_request(id, "POST"));
        REQUIRE(client.read_answer().ends_with("whole body"));
    }
    REQUIRE(fixture.requests_at_servers() <= 5);
}

// Guards against keeping a caller waiting beyond its route's time-out.
TEST_CASE("a server that answers nothing ends in a time-out, and its connection is closed")
{
    forwarding_fixture fixture({[](const auto&) {
                                   return scripted_reply{"", false, true};
                               }},
                               false, core::milliseconds(400));
    test_client client(fixture.port());
    client.send(make_request("7", "POST"));
    REQUIRE(client.read_answer().starts_with("HTTP/1.1 504"));
    REQUIRE(fixture.server(0).wait_for_closed(1));
}

// Guards against servers that go on working for callers that have left.
TEST_CASE("the server's connection ends when the caller leaves")
{
    forwarding_fixture fixture({[](const auto&) { return scripted_reply{"", false, true}; }});
    test_client client(fixture.port());
    client.send(make_request("7"));
    REQUIRE(fixture.server(0).wait_for_requests(1));
    client.close();
    REQUIRE(fixture.server(0).wait_for_closed(1));
}

// Guards against a process that has fallen behind and forwards requests of callers that left long ago.
TEST_CASE("a request whose caller had left before it was read reaches no server")
{
    forwarding_fixture fixture({answer_well});
    test_client earlier(fixture.port());
    earlier.send(make_request("6"));
    REQUIRE(earlier.read_answer().starts_with("HTTP/1.1 200")); // its connection to the server is kept
    fixture.hold_up([&fixture] {
        test_client client(fixture.port());
        client.send(make_request("7"));
        client.close();
    });
    test_client next(fixture.port());
    next.send(make_request("8"));
    REQUIRE(next.read_answer().starts_with("HTTP/1.1 200"));
    REQUIRE(fixture.requests_at_servers() == 2);
}

// Guards against answers that are crossed when several requests are sent at once.
TEST_CASE("pipelined requests are forwarded at once and answered in their order")
{
    forwarding_fixture fixture({answer_well, answer_well});
    test_client client(fixture.port());
    client.send(make_request("1") + make_request("2") + make_request("3", "GET", "Connection: close\r\n"));
    // The answers may arrive together, so all of them are read before they are judged.
    const auto answers = client.read_to_end();
    std::size_t at = 0;
    for (const auto* id : {"1", "2", "3"}) {
        at = answers.find(std::string("X-Id: ") + id + "\r\n", at);
        REQUIRE(at != std::string::npos);
    }
}

// Guards against requests that are smuggled inside others, and against readers that trust a doubtful length.
TEST_CASE("any doubt about where a request ends is answered with 400 and a closed connection")
{
    const std::string head = "POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: 7\r\n";
    const std::vector<std::string> doubtful{
        head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        head + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
        head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        head + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
        head + "Content-Length: -5\r\n\r\nhello",
        head + "Content-Length : 5\r\n\r\nhello",
        head + "Host: other.example\r\n\r\n",
        "POST http://shop.example/orders/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: 7\r\n\r\n",
        "POST /orders/1 HTTP/1.1\r\nX-Id: 7\r\n\r\n",
        "nonsense\r\n\r\n"};
    forwarding_fixture fixture({answer_well});
    for (const auto& request : doubtful) {
        INFO(request);
        test_client client(fixture.port());
        client.send(request + make_request("smuggled"));
        const auto answer = client.read_to_end();
        REQUIRE(answer.starts_with("HTTP/1.1 400"));
        REQUIRE_FALSE(contains(answer, "200 OK"));
    }
    REQUIRE(fixture.requests_at_servers() == 0);
}

// Guards against heads and bodies that take the memory of the instance.
TEST_CASE("too large heads and bodies are answered with 431 and 413")
{
    forwarding_fixture fixture({answer_well});
    test_client with_head(fixture.port());
    with_head.send(make_request("7", "GET", "X-Large: " + std::string(2000, 'x') + "\r\n"));
    REQUIRE(with_head.read_to_end().starts_with("HTTP/1.1 431"));
    test_client with_body(fixture.port());
    with_body.send(make_request("7", "POST", "", std::string(5000, 'x')));
    REQUIRE(with_body.read_to_end().starts_with("HTTP/1.1 413"));
}

// Guards against a request that can't be told apart from others at the server.
TEST_CASE("a request without an id is answered with 400, one without a route with 404")
{
    forwarding_fixture fixture({answer_well});
    test_client client(fixture.port());
    client.send("GET /orders/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n");
    REQUIRE(client.read_answer().starts_with("HTTP/1.1 400"));
    client.send("GET /other/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: 7\r\n\r\n");
    REQUIRE(client.read_answer().starts_with("HTTP/1.1 404"));
    REQUIRE(fixture.requests_at_servers() == 0);
}

// Guards against bodies that lose their framing: servers get them with a length.
TEST_CASE("a body in chunks is forwarded whole")
{
    forwarding_fixture fixture({answer_well});
    test_client client(fixture.port());
    client.send(
        "POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    REQUIRE(client.read_answer().ends_with("whole body"));
    const auto seen = fixture.server(0).requests().front();
    REQUIRE(contains(seen, "Content-Length: 5\r\n"));
    REQUIRE(seen.ends_with("abcde"));
}
