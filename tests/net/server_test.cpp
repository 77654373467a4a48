#include "net/network_fixture.h"

#include <memory>

using namespace knapweed;
using test::network_fixture;
using test::test_client;

namespace {

const std::string get_listing =
    "GET /v1/services/listings/l/1 HTTP/1.1\r\nHost: e1\r\nKnapweed-Caller: c\r\n";

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// Guards against a malformed request that is sent to the decision thread or refused without an explanation.
TEST_CASE("malformed requests are refused with a reason and counted")
{
    network_fixture node;
    const std::vector<std::pair<std::string, std::string>> cases{
        {"GET /v1/services/s/p HTTP/1.1\r\nHost: e1\r\n\r\n", "Knapweed-Caller is required"},
        {get_listing + "Knapweed-Rank: high\r\n\r\n", "Knapweed-Rank must be"},
        {get_listing + "Knapweed-Timeout-Ms: 0\r\n\r\n", "Knapweed-Timeout-Ms must be"},
        {get_listing + "Knapweed-Hop: caller\r\n\r\n", "Knapweed-Hop must be"},
        {get_listing + "Knapweed-Hop: pool\r\nKnapweed-From: e2\r\n\r\n", "Knapweed-Pool must name"},
        {get_listing + "Knapweed-Hop: request_owner\r\n\r\n", "Knapweed-From must name"},
        {get_listing + "Knapweed-Idempotent: false\r\n\r\n", "Idempotency-Key is required"},
        {get_listing + "Knapweed-Body-Hash: 1\r\n\r\n", "does not match Knapweed-Body-Hash"},
        {"PATCH /v1/services/s/p HTTP/1.1\r\nHost: e1\r\n\r\n", "method must be"},
        {"GET /v1/lookup HTTP/1.1\r\nHost: e1\r\n\r\n", "must name a service"},
        {"not http\r\n\r\n", "\"reason\":\"malformed_request\""},
        {"GET /v1/services/s/p HTTP/1.0\r\nKnapweed-Caller: c\r\n\r\n", "HTTP/1.1 is required"}};
    for (const auto& [request, detail] : cases) {
        test_client client(node.port);
        client.send(request);
        const auto answer = client.read_answer();
        INFO(answer);
        CHECK(answer.starts_with("HTTP/1.1 400"));
        CHECK(contains(answer, "Knapweed-Outcome: refused"));
        CHECK(contains(answer, detail));
    }
    CHECK(node.reports.value(net::counter::requests_malformed) == cases.size());
    CHECK(node.reports.value(decision::count_refusal{core::refusal_reason::malformed_request}) ==
          cases.size());
    CHECK(node.events.size() == 0);
}

// Guards against accepting requests above the limits of the settings, with or without a Content-Length.
TEST_CASE("oversized requests are refused with the limit that they exceed as the reason")
{
    network_fixture node;
    const auto answer_to = [&](const std::string& request) {
        test_client client(node.port);
        client.send(request);
        return client.read_answer();
    };
    CHECK(contains(answer_to(get_listing + "X: " + std::string(2000, 'x') + "\r\n\r\n"),
                   "Knapweed-Reason: header_too_large"));
    CHECK(answer_to(get_listing + "Content-Length: 2049\r\n\r\n").starts_with("HTTP/1.1 413"));
    CHECK(contains(answer_to(get_listing + "Transfer-Encoding: chunked\r\n\r\n801\r\n" +
                             std::string(0x801, 'x') + "\r\n0\r\n\r\n"),
                   "Knapweed-Reason: body_too_large"));
    CHECK(node.events.size() == 0);
}

// Guards against a request that waits without limit, or blocks the network thread, while the decision thread
// is slower than its requests.
TEST_CASE("a request is refused as overloaded and counted while the ring is full")
{
    network_fixture node(1);
    test_client first(node.port);
    first.send(get_listing + "\r\n");
    test_client second(node.port);
    second.send("GET /healthz HTTP/1.1\r\nHost: e1\r\n\r\n");
    CHECK(second.read_answer().starts_with("HTTP/1.1 200"));
    std::string answer;
    // The first request may arrive after the second connection's, so one of two is refused.
    second.send(get_listing + "Knapweed-Rank: bulk\r\n\r\n");
    test_client third(node.port);
    third.send(get_listing + "Knapweed-Rank: bulk\r\n\r\n");
    while (node.reports.value(net::counter::ring_refusals) < 2)
        std::this_thread::yield();
    CHECK(node.reports.value(net::counter::ring_refusals) == 2);
    const auto accepted = node.next_event<decision::request_received>();
    node.send_action(decision::answer_refused{accepted.exchange, core::refusal_reason::no_credit, {}, "t"});
    const auto answers = first.read_answer() + second.read_answer() + third.read_answer();
    CHECK(contains(answers, "Knapweed-Reason: overloaded"));
    CHECK(contains(answers, "Knapweed-Reason: no_credit"));
    CHECK(contains(answers, "Knapweed-Ticket: t"));
}

// Guards against a connection above the limit that is served, or closed without an answer that states that
// nothing was run.
TEST_CASE("a request on a connection above the limit is refused as overloaded")
{
    network_fixture node;
    const auto ask = [](test_client& client) {
        client.send("GET /healthz HTTP/1.1\r\nHost: e1\r\n\r\n");
        return client.read_answer();
    };
    std::vector<std::unique_ptr<test_client>> clients;
    for (std::size_t i = 0; i < network_fixture::limits().connections; ++i) {
        clients.push_back(std::make_unique<test_client>(node.port));
        REQUIRE(ask(*clients.back()).starts_with("HTTP/1.1 200"));
    }
    test_client excess(node.port);
    CHECK(contains(ask(excess), "Knapweed-Reason: overloaded"));
    CHECK(node.reports.value(net::counter::connections_refused) == 1);
}

TEST_CASE("header fields of a request are parsed into its metadata and look-ups are answered")
{
    network_fixture node;
    test_client client(node.port);
    client.send("POST /v1/services/orders/new?x=1 HTTP/1.1\r\nHost: e1\r\nKnapweed-Caller: shop\r\n"
                "Knapweed-Rank: urgent\r\nKnapweed-Timeout-Ms: 250\r\nIdempotency-Key: k1\r\n"
                "Knapweed-Ticket: t1\r\nKnapweed-Hop: pool\r\nKnapweed-From: e2\r\nKnapweed-Pool: "
                "dc1\r\nContent-Length: 2\r\n\r\nhi");
    const auto received = node.next_event<decision::request_received>();
    CHECK(received.from == decision::hop::pool);
    CHECK(received.request.operation == "POST /new?x=1");
    CHECK(received.request.rank == core::rank::urgent);
    CHECK(received.request.timeout == core::milliseconds(250));
    CHECK_FALSE(received.request.idempotent);
    CHECK(received.request.body_hash == core::hash_text("hi"));
    node.send_action(decision::answer_stored{received.exchange, {201, "text/plain", "kept"}});
    CHECK(contains(client.read_answer(), "\r\n\r\nkept"));

    client.send("GET /v1/lookup?service=orders HTTP/1.1\r\nHost: e1\r\n\r\n");
    const auto lookup = node.next_event<decision::lookup_received>();
    CHECK(lookup.service == core::service_id{"orders"});
    decision::lookup_answer answer{
        {{core::instance_id{"e1"}, "127.0.0.1:1"}}, "t2", core::milliseconds(9), true};
    node.send_action(decision::answer_lookup{lookup.exchange, answer});
    CHECK(contains(client.read_answer(), R"({"degraded":true,"endpoints":[{"address":"127.0.0.1:1",)"
                                         R"("instance":"e1"}],"ticket":"t2","ttl_ms":9})"));
}

// Guards against metrics that appear only after their first event, so that alerts can't refer to them.
TEST_CASE("every refusal, unknown and retry reason is in the metrics from the start")
{
    const net::telemetry reports("e1", net::log_level::info, 4);
    const auto text = reports.text();
    CHECK(contains(text, R"(knapweed_refusals_total{rank="bulk",reason="cancelled_by_caller"} 0)"));
    CHECK(contains(text, R"(knapweed_unknowns_total{rank="urgent",reason="answer_not_kept"} 0)"));
    CHECK(contains(text, R"(knapweed_retries_total{rank="standard",reason="preempted"} 0)"));
    CHECK(contains(text, "knapweed_peer_messages_dropped_total 0"));
}
