#include "stand_ins/backend/answer_body.h"
#include "stand_ins/backend/run_ledger.h"
#include "stand_ins/http/http_server.h"
#include "stand_ins/load/ledger_reader.h"
#include "stand_ins/load/load_caller.h"
#include "stand_ins_tests/stand_in_fixture.h"

using namespace knapweed;
using namespace knapweed::stand_ins;

namespace {

http_response done_answer(const std::string& body)
{
    http_response response = make_response(http::status::ok, "application/octet-stream", body);
    response.set("Knapweed-Outcome", "done");
    return response;
}

http_response refused_answer(const std::string& reason)
{
    http_response response =
        make_json_response(http::status::service_unavailable, {{"outcome", "refused"}, {"reason", reason}});
    response.set("Knapweed-Outcome", "refused");
    response.set("Knapweed-Reason", reason);
    response.set("Knapweed-Ticket", "fresh");
    return response;
}

/** Emulates an entry instance that returns the answer set by the test. */
class entry_fixture : public stand_in_fixture {
public:
    entry_fixture()
    {
        entry.listen(0);
        endpoints = {endpoint_json(entry.port())};
    }

    rank_report& perform()
    {
        load_caller caller{context.get_executor(), clock, {false, "run"}, {endpoint(entry.port())}, report};
        request_kind kind;
        kind.service = "orders";
        kind.method = http::verb::post;
        kind.idempotent = false;
        run(finish(caller, kind));
        return report.ranks.at(core::index_of(kind.rank));
    }

    static nlohmann::json endpoint_json(std::uint16_t port)
    {
        return {{"address", "127.0.0.1:" + std::to_string(port)}};
    }

    std::function<std::optional<http_response>(const std::string& key)> answer_to;
    std::vector<std::pair<std::string, std::string>> received; ///< key and ticket
    nlohmann::json endpoints;
    http_server entry{context.get_executor(),
                      [this](http_request request) { return answer(std::move(request)); }};
    load_report report;

private:
    static asio::awaitable<bool> finish(load_caller& caller, request_kind kind)
    {
        co_await caller.perform(std::move(kind), "c1");
        co_return true;
    }

    asio::awaitable<std::optional<http_response>> answer(http_request request)
    {
        if (request.target().starts_with("/v1/lookup"))
            co_return make_json_response(http::status::ok,
                                         {{"endpoints", endpoints}, {"ticket", "first"}, {"ttl_ms", 5000}});
        const std::string key = header(request, "Idempotency-Key");
        received.emplace_back(key, header(request, "Knapweed-Ticket"));
        co_return answer_to(key);
    }
};

} // namespace

// Guards against a load tool that reports failure for correct answers.
TEST_CASE_METHOD(entry_fixture, "the report passes when a complete answer to the request arrives")
{
    answer_to = [](const std::string& key) {
        return done_answer(make_answer_body(key, 1000, answer_format::bytes));
    };
    REQUIRE(perform().done == 1);
    REQUIRE(report.passed(false));
}

// Guards against counting a truncated answer with correct framing as done.
TEST_CASE_METHOD(entry_fixture,
                 "an answer counts as truncated when its framing is correct but its end is missing")
{
    answer_to = [](const std::string& key) {
        return done_answer(make_answer_body(key, 1000, answer_format::bytes).substr(0, 500));
    };
    REQUIRE(perform().truncated == 1);
    REQUIRE_FALSE(report.passed(true));
}

// Guards against overlooking corruption that keeps the length of the body.
TEST_CASE_METHOD(
    entry_fixture,
    "an answer body counts as truncated when a byte differs, and as crossed when the key differs")
{
    const auto format = GENERATE(answer_format::bytes, answer_format::json);
    std::string body = make_answer_body("k", 100, format);
    REQUIRE(check_answer_body(body, "k", format) == body_verdict::intact);
    REQUIRE(check_answer_body(body, "j", format) == body_verdict::crossed);
    char& byte = body[format == answer_format::bytes ? body.size() - 1 : body.find("filler") + 12];
    byte = byte == 'a' ? 'b' : 'a';
    REQUIRE(check_answer_body(body, "k", format) == body_verdict::truncated);
}

// Guards against accepting the answer to another request.
TEST_CASE_METHOD(entry_fixture, "an answer counts as crossed when it belongs to another request")
{
    answer_to = [](const std::string& key) {
        return done_answer(make_answer_body(key + "0", 1000, answer_format::bytes));
    };
    REQUIRE(perform().crossed == 1);
    REQUIRE_FALSE(report.passed(true));
}

// Guards against counting an answer that breaks off as done.
TEST_CASE_METHOD(entry_fixture,
                 "an answer that breaks off counts as unknown and fails the report unless allowed")
{
    answer_to = [](const std::string& key) {
        http_response response = done_answer(make_answer_body(key, 1000, answer_format::bytes));
        response.content_length(5000);
        response.keep_alive(false);
        return response;
    };
    REQUIRE(perform().unknown["broken_off"] == 1);
    REQUIRE_FALSE(report.passed(false));
    REQUIRE(report.passed(true));
}

// Guards against a retry that hides a closed connection, or that uses another key or ticket.
TEST_CASE_METHOD(entry_fixture,
                 "the same key and ticket are sent again when a connection closes without an outcome")
{
    endpoints.push_back(endpoint_json(entry.port()));
    answer_to = [this](const std::string& key) -> std::optional<http_response> {
        if (received.size() == 1)
            return std::nullopt;
        return done_answer(make_answer_body(key, 10, answer_format::bytes));
    };
    const rank_report& rank = perform();
    REQUIRE(rank.done == 1);
    REQUIRE(rank.cut_off == 1);
    REQUIRE(received.at(0) == received.at(1));
    REQUIRE_FALSE(report.passed(false));
}

// Guards against resending a refused request under its old key, which must stay refused.
TEST_CASE_METHOD(entry_fixture,
                 "a request is sent again under a new key after a refusal because of its ticket")
{
    answer_to = [this](const std::string& key) {
        return received.size() == 1 ? refused_answer("owner_lost")
                                    : done_answer(make_answer_body(key, 10, answer_format::bytes));
    };
    REQUIRE(perform().done == 1);
    REQUIRE(received.at(0).first != received.at(1).first);
    REQUIRE(received.at(1).second == "fresh");
    REQUIRE(report.refused_keys == std::set<std::string>{received.at(0).first});
}

// Guards against retries that add to an overload.
TEST_CASE_METHOD(entry_fixture, "a request is not sent again after a refusal for lack of capacity")
{
    answer_to = [](const std::string&) { return refused_answer("queue_full"); };
    REQUIRE(perform().refused["queue_full"] == 1);
    REQUIRE(received.size() == 1);
    REQUIRE(report.passed(false));
}

// Guards against counting an answer without a valid outcome as refused.
TEST_CASE_METHOD(entry_fixture,
                 "an answer counts as malformed when its outcome is absent or its reason is unknown")
{
    const bool has_outcome = GENERATE(false, true);
    answer_to = [has_outcome](const std::string&) {
        http_response response = refused_answer("not_a_reason");
        if (!has_outcome)
            response.erase("Knapweed-Outcome");
        return response;
    };
    REQUIRE(perform().malformed.size() == 1);
    REQUIRE_FALSE(report.passed(true));
}

// Guards against overlooking a request that ran once in each of two processes, or one that ran although it
// was reported as not run.
TEST_CASE_METHOD(stand_in_fixture, "doubled runs and refused keys that ran are counted over all ledgers")
{
    std::array<run_ledger, 2> ledgers{run_ledger{"a"}, run_ledger{"b"}};
    const auto answer = [](const run_ledger& ledger, const http_request& request) {
        if (request.target() == "/runs")
            return make_json_response(http::status::ok, ledger.list(""));
        return make_json_response(http::status::ok,
                                  {{"ledger", ledger.name()}, {"runs", 2}, {"shed", 0}, {"cancelled", 0}});
    };
    const auto serve = [&](std::size_t index) {
        return [&, index](http_request request) -> asio::awaitable<std::optional<http_response>> {
            co_return answer(ledgers.at(index), request);
        };
    };
    const auto serve_a = serve(0);
    const auto serve_b = serve(1);
    http_server a{context.get_executor(), serve_a};
    http_server b{context.get_executor(), serve_b};
    a.listen(0);
    b.listen(0);
    for (run_ledger& ledger : ledgers) {
        ledger.record_start("c", "doubled", false);
        ledger.record_start("c", "read twice", true);
    }
    ledgers[0].record_start("c", "refused", false);
    const backend_report report = run(read_ledgers(
        client, {endpoint(a.port()), endpoint(b.port()), endpoint(a.port())}, {"refused", "other"}));
    REQUIRE(report.ledgers == 2);
    REQUIRE(report.doubled == 1);
    REQUIRE(report.not_run_but_ran == 1);
    load_report load;
    load.backends = report;
    REQUIRE_FALSE(load.passed(true));
}
