#include "net/network_fixture.h"

using namespace knapweed;
using decision::dispatch_finished;
using decision::dispatch_status;
using test::make_reply;
using test::network_fixture;
using test::scripted_reply;
using test::test_client;
using test::upstream_fake;

namespace {

auto always(const std::string& bytes, bool close = false, bool hang = false)
{
    return [=](const std::string&) { return scripted_reply{bytes, close, hang}; };
}

} // namespace

TEST_CASE("an answer is streamed to the caller and kept if it has at most 64 KiB")
{
    network_fixture node;
    const auto size = GENERATE(as<std::size_t>{}, 0, 5, 65536, 65537, 3000000);
    upstream_fake server(always(make_reply("201 Created", "Content-Type: a/b\r\n", std::string(size, 'x'))));
    test_client client(node.port);
    node.post_and_dispatch(client, server.address());
    const auto answer = client.read_answer();
    CHECK(answer.starts_with("HTTP/1.1 201"));
    CHECK(answer.substr(answer.find("\r\n\r\n") + 4) == std::string(size, 'x'));
    const auto result = node.next_event<dispatch_finished>().result;
    CHECK(result.status == dispatch_status::answered);
    CHECK(result.answer_bytes == size);
    CHECK(result.kept == (size <= 65536));
    CHECK(result.answer.body.size() == (result.kept ? size : 0));
    const auto request = server.requests().at(0);
    CHECK(request.starts_with("POST /new HTTP/1.1\r\n"));
    CHECK(request.find("Knapweed-Run-Id: e1-0000000000000007-1\r\n") != std::string::npos);
    CHECK(request.ends_with("\r\n\r\nhello"));
}

// Guards against a truncated answer, such as a drawing, that the caller treats as complete.
TEST_CASE("a truncated answer is reported as truncated and does not look complete to the caller")
{
    network_fixture node;
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const auto bytes = GENERATE_COPY(head + "Content-Length: 10\r\n\r\nabc",
                                     head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
                                     head + "Content-Length: 10\r\n\r\n", head + "\r\nabc");
    upstream_fake server(always(bytes, true));
    test_client client(node.port);
    node.post_and_dispatch(client, server.address());
    const auto answer = client.read_to_end();
    INFO(answer);
    CHECK(answer.find("\r\n0\r\n") == std::string::npos);
    CHECK((answer.empty() || answer.ends_with("abc") || answer.ends_with("abc\r\n")));
    CHECK(node.next_event<dispatch_finished>().result.status == dispatch_status::truncated);
    CHECK(node.reports.value(net::counter::answers_truncated) == 1);
}

// Guards against a server's refusal being sent to the caller although another server could run the request.
TEST_CASE("a server's refusal is reported to the decision thread and not sent to the caller")
{
    network_fixture node;
    upstream_fake server(always(make_reply("503 Busy", "Knapweed-Not-Run: true\r\n", "shed")));
    test_client client(node.port);
    const auto exchange = node.post_and_dispatch(client, server.address());
    const auto result = node.next_event<dispatch_finished>().result;
    CHECK(result.status == dispatch_status::refused);
    CHECK(result.refusal == core::refusal_reason::server_refused);
    node.send_action(decision::answer_stored{exchange, {200, "text/plain", "other"}});
    CHECK(client.read_answer().ends_with("other"));
}

TEST_CASE("a peer's refusal or unknown outcome is reported to the decision thread and not sent to the caller")
{
    network_fixture node;
    const bool refused = GENERATE(true, false);
    const std::string fields = refused ? "Knapweed-Outcome: refused\r\nKnapweed-Reason: no_credit\r\n"
                                       : "Knapweed-Outcome: unknown\r\nKnapweed-Reason: server_died\r\n";
    upstream_fake peer(always(make_reply(refused ? "503 Refused" : "504 Unknown", fields, "{}")));
    test_client client(node.port);
    client.send("GET /v1/services/s/p?q HTTP/1.1\r\nHost: e1\r\nKnapweed-Caller: c\r\n\r\n");
    const auto received = node.next_event<decision::request_received>();
    node.send_action(decision::relay_to_instance{received.exchange,
                                                 {9},
                                                 core::instance_id{"e2"},
                                                 peer.address(),
                                                 decision::hop::request_owner,
                                                 received.request});
    const auto result = node.next_event<dispatch_finished>().result;
    CHECK(result.status == (refused ? dispatch_status::refused : dispatch_status::unknown));
    CHECK(result.refusal == (refused ? core::refusal_reason::no_credit : core::refusal_reason::overloaded));
    CHECK(result.unknown ==
          (refused ? core::unknown_reason::connection_lost : core::unknown_reason::server_died));
    const auto request = peer.requests().at(0);
    CHECK(request.starts_with("GET /v1/services/s/p?q HTTP/1.1\r\n"));
    CHECK(request.find("Knapweed-Hop: request_owner\r\n") != std::string::npos);
    node.send_action(decision::answer_refused{received.exchange, core::refusal_reason::no_credit, {}, {}});
    CHECK(client.read_answer().find("Knapweed-Reason: no_credit") != std::string::npos);
}

// Guards against reporting a request as not run although it may have run, and against sending it a second
// time without an instruction.
TEST_CASE("a dispatch is broken if its connection ends after the request, and not_sent if none can be opened")
{
    network_fixture node;
    test_client client(node.port);
    std::string closed_address;
    {
        upstream_fake closed_server(always(""));
        closed_address = closed_server.address();
    }
    const auto exchange = node.post_and_dispatch(client, closed_address);
    CHECK(node.next_event<dispatch_finished>().result.status == dispatch_status::not_sent);

    upstream_fake server(always("", true));
    const auto dispatch = [&](std::uint64_t id, std::uint32_t limit) {
        node.send_action(decision::dispatch_to_server{
            exchange, {id}, core::server_id{"b"}, server.address(), core::milliseconds(20000), limit});
        return node.next_event<dispatch_finished>();
    };
    CHECK(dispatch(2, 4).result.status == dispatch_status::broken);
    CHECK(server.requests().size() == 1);
    node.send_action(decision::answer_unknown{exchange, core::unknown_reason::connection_lost});
    CHECK(client.read_answer().starts_with("HTTP/1.1 504"));
    const auto dispatch_after_end = dispatch(3, 4);
    CHECK(dispatch_after_end.dispatch == core::dispatch_id{3});
    CHECK(dispatch_after_end.result.status == dispatch_status::not_sent);
    CHECK(server.requests().size() == 1);
}

// Guards against reusing a pooled connection that the server closed while it was idle.
TEST_CASE("a pooled connection that the server closed is not reused")
{
    network_fixture node;
    upstream_fake server(always(make_reply("200 OK", "", "one"), true));
    for (int i = 0; i < 3; ++i) {
        test_client client(node.port);
        node.post_and_dispatch(client, server.address());
        CHECK(node.next_event<dispatch_finished>().result.status == dispatch_status::answered);
        CHECK(client.read_answer().ends_with("one"));
        REQUIRE(server.wait_for_closed(static_cast<std::size_t>(i) + 1));
    }
    CHECK(server.requests().size() == 3);
    CHECK(node.reports.value(net::counter::upstream_connections_opened) == 3);
}

// Guards against losing an answer that the caller needs for its retry after its first connection ended.
TEST_CASE("a caller that closes its connection is reported once and the answer is still kept")
{
    network_fixture node;
    std::atomic<bool> caller_disconnected = false;
    upstream_fake server([&](const std::string&) {
        while (!caller_disconnected)
            std::this_thread::yield();
        return scripted_reply{make_reply("200 OK", "", "kept"), false, false};
    });
    test_client client(node.port);
    const auto exchange = node.post_and_dispatch(client, server.address());
    CHECK(server.wait_for_requests(1));
    client.close();
    CHECK(node.next_event<decision::exchange_closed>().exchange == exchange);
    caller_disconnected = true;
    const auto result = node.next_event<dispatch_finished>().result;
    CHECK(result.status == dispatch_status::answered);
    CHECK(result.kept);
    CHECK(result.answer.body == "kept");
    CHECK(node.reports.value(net::counter::callers_lost) == 1);
}

// Guards against slot time spent on a run whose answer is no longer needed.
TEST_CASE("a cancelled or timed-out run is cancelled at the server")
{
    network_fixture node;
    const bool cancelled = GENERATE(true, false);
    upstream_fake server([](const std::string& request) {
        return request.starts_with("DELETE") ? scripted_reply{make_reply("200 OK", "", ""), false, false}
                                             : scripted_reply{"", false, true};
    });
    test_client client(node.port);
    const auto exchange =
        node.post_and_dispatch(client, server.address(), core::milliseconds(cancelled ? 20000 : 2000));
    CHECK(server.wait_for_requests(1));
    if (cancelled)
        node.send_action(decision::cancel_dispatch{{1}});
    const auto result = node.next_event<dispatch_finished>().result;
    CHECK(result.status == (cancelled ? dispatch_status::cancelled : dispatch_status::timed_out));
    CHECK(server.wait_for_requests(2));
    CHECK(server.requests().at(1).starts_with("DELETE /runs/e1-0000000000000007-1 HTTP/1.1\r\n"));
    node.send_action(decision::answer_unknown{exchange, core::unknown_reason::server_timeout});
    CHECK(client.read_answer().starts_with("HTTP/1.1 504"));
}
