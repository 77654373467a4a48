#include "forwarding_fixture.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using namespace knapweed::test;

namespace {

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

std::string extract_id(const std::string& request)
{
    const auto begin = request.find("X-Id: ") + 6;
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

scripted_reply answer_normally(const std::string& request)
{
    return {make_signed_reply(extract_id(request), "whole body")};
}

} // namespace

// Guards against requests that are changed when they are forwarded, and against forwarded hop-by-hop fields.
TEST_CASE("a request and its answer are forwarded unchanged, without hop-by-hop fields")
{
    forwarding_fixture fixture({answer_normally});
    test_client client(fixture.port());
    client.send(make_request(
        "7", "POST", "X-Other: kept\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-Server: forged\r\n", "hello"));
    const auto answer = client.read_answer();
    REQUIRE(answer.starts_with("HTTP/1.1 200 OK\r\n"));
    REQUIRE(contains(answer, "X-Seal: sealed\r\n"));
    REQUIRE(answer.ends_with("whole body"));
    const auto forwarded = fixture.server(0).requests().front();
    REQUIRE(forwarded.starts_with("POST /orders/1?x=2 HTTP/1.1\r\n"));
    REQUIRE(forwarded.ends_with("hello"));
    REQUIRE(contains(forwarded, "X-Other: kept\r\n"));
    REQUIRE(contains(forwarded, "X-Server: s0\r\n"));
    REQUIRE_FALSE(contains(forwarded, "forged"));
    REQUIRE_FALSE(contains(forwarded, "X-Hop"));
    const auto time_left = forwarded.substr(forwarded.find("X-Left: ") + 8, 4);
    REQUIRE(std::stoi(time_left) <= 4000);
}

// Guards against forwarding an answer that the server did not sign.
TEST_CASE("an answer without signature, without request id or with an encoding is never passed on")
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

// Guards against an answer that is sent to the caller of another request.
TEST_CASE("a late answer to an earlier request is skipped and the matching answer passed on")
{
    forwarding_fixture fixture({[](const auto& request) {
        return scripted_reply{make_signed_reply("older", "not yours") +
                              make_signed_reply(extract_id(request), "yours")};
    }});
    test_client client(fixture.port());
    client.send(make_request("7"));
    REQUIRE(client.read_answer().ends_with("yours"));
}

// Guards against the late copy of an earlier "not run" answer that is taken for the answer to a request that
// runs.
TEST_CASE("a not-run answer without a request id proves nothing on a connection that was used before")
{
    std::atomic<int> requests = 0;
    const auto refuse_late = [&requests](const std::string& request) {
        if (requests++ == 0)
            return answer_normally(request);
        return scripted_reply{make_reply("503 Full", "X-Not-Run: 1\r\n", "")};
    };
    forwarding_fixture fixture({refuse_late}, false);
    test_client client(fixture.port());
    client.send(make_request("1", "POST"));
    REQUIRE(client.read_answer().starts_with("HTTP/1.1 200"));
    client.send(make_request("2", "POST"));
    REQUIRE(client.read_answer().starts_with("HTTP/1.1 502"));
}

// Guards against a request that runs twice, and against "not run" for a request that may have run.
TEST_CASE("a lost connection gives an unknown outcome for a request that is not idempotent")
{
    const auto drop_connection = [](const auto&) { return scripted_reply{"", true}; };
    forwarding_fixture fixture({drop_connection, drop_connection}, false);
    test_client client(fixture.port());
    client.send(make_request("7", "POST"));
    REQUIRE(client.read_answer().starts_with("HTTP/1.1 502"));
    REQUIRE(fixture.requests_at_servers() == 1);
}

// Guards against a truncated answer that looks complete. A short answer is buffered before any of it is
// passed on, so its request can be retried; a long one has been passed on in part.
TEST_CASE("a truncated answer is retried on another server, or the caller's connection is closed early")
{
    const std::string half =
        "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Seal: sealed\r\nContent-Length: 100\r\n\r\nhalf";
    std::atomic<int> requests = 0;
    const auto break_off_once = [&](const std::string& request) {
        return requests++ == 0 ? scripted_reply{half, true} : answer_normally(request);
    };
    forwarding_fixture fixture({break_off_once, break_off_once});
    test_client client(fixture.port());
    client.send(make_request("7"));
    REQUIRE(client.read_answer().ends_with("whole body"));

    const std::string large(60000, 'x');
    forwarding_fixture streaming({[&large](const auto& request) {
        auto reply = make_signed_reply(extract_id(request), large);
        return scripted_reply{reply.substr(0, reply.size() - 100), true};
    }});
    test_client streaming_client(streaming.port());
    streaming_client.send(make_request("8"));
    REQUIRE(streaming_client.read_to_end().size() < large.size());
}

// Guards against answers without Content-Length that are lost or never complete.
TEST_CASE("an answer that ends with its connection is passed on in chunked encoding")
{
    forwarding_fixture fixture({[](const auto& request) {
        return scripted_reply{"HTTP/1.1 200 OK\r\nX-Id: " + extract_id(request) + "\r\nX-Seal: s\r\n\r\n" +
                                  std::string(50000, 'y'),
                              true};
    }});
    test_client client(fixture.port());
    client.send(make_request("7", "GET", "Connection: close\r\n"));
    const auto answer = client.read_to_end();
    REQUIRE(contains(answer, "Transfer-Encoding: chunked\r\n"));
    REQUIRE(answer.ends_with("0\r\n\r\n"));
}

// Guards against a refusal without Retry-After, and against a refusal of a request that ran.
TEST_CASE("a request that no server ran is refused with a Retry-After field")
{
    const auto refuse = [](const auto&) {
        return scripted_reply{make_reply("503 Full", "X-Not-Run: 1\r\n", "")};
    };
    forwarding_fixture fixture({refuse, refuse}, false);
    test_client client(fixture.port());
    client.send(make_request("7", "POST"));
    const auto answer = client.read_answer();
    REQUIRE(answer.starts_with("HTTP/1.1 503"));
    REQUIRE(contains(answer, "Retry-After: 0."));
    REQUIRE(contains(answer, "X-Id: 7\r\n"));
    REQUIRE_FALSE(contains(answer, "X-Seal"));
    REQUIRE(fixture.requests_at_servers() == 2);
}

// Guards against requests that fail because a server now has the address of another server.
TEST_CASE("a request that the wrong server rejects is retried on another server")
{
    const auto reject_requests_for_s0 = [](const std::string& request) {
        return contains(request, "X-Server: s0") ? scripted_reply{make_reply("421 Misdirected", "", "")}
                                                 : answer_normally(request);
    };
    forwarding_fixture fixture({reject_requests_for_s0, reject_requests_for_s0}, false);
    test_client client(fixture.port());
    for (const auto* id : {"1", "2", "3", "4"}) {
        client.send(make_request(id, "POST"));
        REQUIRE(client.read_answer().ends_with("whole body"));
    }
    REQUIRE(fixture.requests_at_servers() <= 5);
}

// Guards against callers that wait longer than the timeout of their route.
TEST_CASE("a request to a server that does not answer times out, and the server's connection is closed")
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

// Guards against servers that process requests of callers that have disconnected.
TEST_CASE("the connection to the server is closed when the caller disconnects")
{
    forwarding_fixture fixture({[](const auto&) { return scripted_reply{"", false, true}; }});
    test_client client(fixture.port());
    client.send(make_request("7"));
    REQUIRE(fixture.server(0).wait_for_requests(1));
    client.close();
    REQUIRE(fixture.server(0).wait_for_closed(1));
}

// Guards against an overloaded process that forwards requests of callers that disconnected long ago.
TEST_CASE("a request whose caller disconnected before it was read is not forwarded")
{
    forwarding_fixture fixture({answer_normally});
    test_client earlier(fixture.port());
    earlier.send(make_request("6"));
    REQUIRE(earlier.read_answer().starts_with("HTTP/1.1 200")); // the connection to the server stays open
    fixture.run_on_gateway_thread([&fixture] {
        test_client client(fixture.port());
        client.send(make_request("7"));
        client.close();
    });
    test_client later(fixture.port());
    later.send(make_request("8"));
    REQUIRE(later.read_answer().starts_with("HTTP/1.1 200"));
    REQUIRE(fixture.requests_at_servers() == 2);
}

// Guards against answers that are assigned to the wrong request of a pipeline.
TEST_CASE("pipelined requests are forwarded at once and answered in the order of the requests")
{
    forwarding_fixture fixture({answer_normally, answer_normally});
    test_client client(fixture.port());
    client.send(make_request("1") + make_request("2") + make_request("3", "GET", "Connection: close\r\n"));
    // The answers may arrive together, so all of them are read before they are checked.
    const auto answers = client.read_to_end();
    std::size_t position = 0;
    for (const auto* id : {"1", "2", "3"}) {
        position = answers.find(std::string("X-Id: ") + id + "\r\n", position);
        REQUIRE(position != std::string::npos);
    }
}

// Guards against request smuggling through an ambiguous length.
TEST_CASE("a request whose end is ambiguous is answered with 400 and its connection is closed")
{
    const std::string head = "POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: 7\r\n";
    const std::vector<std::string> ambiguous{
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
    forwarding_fixture fixture({answer_normally});
    for (const auto& request : ambiguous) {
        INFO(request);
        test_client client(fixture.port());
        client.send(request + make_request("smuggled"));
        const auto answer = client.read_to_end();
        REQUIRE(answer.starts_with("HTTP/1.1 400"));
        REQUIRE_FALSE(contains(answer, "200 OK"));
    }
    REQUIRE(fixture.requests_at_servers() == 0);
}

// Guards against heads and bodies that exhaust the memory of the instance.
TEST_CASE("a head or body above the limit is answered with 431 or 413")
{
    forwarding_fixture fixture({answer_normally});
    test_client large_head_client(fixture.port());
    large_head_client.send(make_request("7", "GET", "X-Large: " + std::string(2000, 'x') + "\r\n"));
    REQUIRE(large_head_client.read_to_end().starts_with("HTTP/1.1 431"));
    test_client large_body_client(fixture.port());
    large_body_client.send(make_request("7", "POST", "", std::string(5000, 'x')));
    REQUIRE(large_body_client.read_to_end().starts_with("HTTP/1.1 413"));
}

// Guards against a request that the server can't distinguish from others.
TEST_CASE("a request without an id is answered with 400, one without a route with 404")
{
    forwarding_fixture fixture({answer_normally});
    test_client client(fixture.port());
    client.send("GET /orders/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n");
    REQUIRE(client.read_answer().starts_with("HTTP/1.1 400"));
    client.send("GET /other/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: 7\r\n\r\n");
    REQUIRE(client.read_answer().starts_with("HTTP/1.1 404"));
    REQUIRE(fixture.requests_at_servers() == 0);
}

// Guards against forwarded bodies without framing: servers receive them with a Content-Length.
TEST_CASE("a chunked body is forwarded complete, with its length")
{
    forwarding_fixture fixture({answer_normally});
    test_client client(fixture.port());
    client.send(
        "POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    REQUIRE(client.read_answer().ends_with("whole body"));
    const auto forwarded = fixture.server(0).requests().front();
    REQUIRE(contains(forwarded, "Content-Length: 5\r\n"));
    REQUIRE(forwarded.ends_with("abcde"));
}

// Guards against a time that a caller or a server states beyond the clock's range and that becomes negative.
TEST_CASE("a request is served whatever time limit and cold time are stated for it")
{
    for (const auto* stated : {"9223372036854775", "9223372036854775807", "18446744073709551615"}) {
        INFO(stated);
        forwarding_fixture fixture(
            {[stated](const auto&) {
                return scripted_reply{make_reply(
                    "200 OK", std::string("X-Id: 1\r\nX-Seal: s\r\nX-Cold: ") + stated + "\r\n", "served")};
            }},
            false, core::milliseconds(2000));
        test_client client(fixture.port());
        auto request = make_request("1", "POST", "Connection: close\r\n");
        const std::string usual = "X-Left: 4000";
        request.replace(request.find(usual), usual.size(), std::string("X-Left: ") + stated);
        client.send(request);
        CHECK(client.read_to_end().starts_with("HTTP/1.1 200"));
    }
}
