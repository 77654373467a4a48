#include "stand_ins/backend/backend_server.h"
#include "stand_ins_tests/stand_in_fixture.h"

using namespace knapweed;
using namespace knapweed::stand_ins;

namespace {

backend_options options_with_two_slots()
{
    backend_options options;
    options.slots = 2;
    options.distribution = run_distribution::fixed;
    options.run_mean = core::milliseconds{0};
    options.health_lag = core::milliseconds{1000};
    options.restart_time = core::milliseconds{3'600'000};
    return options;
}

/** Backend server with two slots whose runs end immediately, unless a request sets `run_ms`. */
class backend_fixture : public stand_in_fixture {
public:
    backend_fixture() { server.listen(0); }

    nlohmann::json read(const std::string& target)
    {
        return nlohmann::json::parse(call(server.port(), http::verb::get, target).response.body());
    }

    /** Starts a run that does not end by itself within the test. */
    void start_long_run(const std::string& key, std::optional<exchange_result>& result)
    {
        const std::uint64_t runs_before = read("/statistics")["runs"];
        start(server.port(), "/work?run_ms=3600000", {{"Knapweed-Run-Id", key}, {"Idempotency-Key", key}},
              result);
        while (read("/statistics")["runs"] == runs_before)
            context.run_one();
    }

    run_ledger ledger{"test"};
    backend_server server{context.get_executor(), clock, options_with_two_slots(), 1, ledger};
    std::optional<exchange_result> first_result;
    std::optional<exchange_result> second_result;
};

} // namespace

// Guards against a server that runs more requests than it has slots, or that reports a request as shed
// although it ran.
TEST_CASE_METHOD(backend_fixture, "a request is shed without being run when all slots are in use")
{
    start_long_run("k1", first_result);
    start_long_run("k2", second_result);
    const exchange_result shed =
        call(server.port(), http::verb::post, "/work", "", {{"Idempotency-Key", "k3"}});
    REQUIRE(shed.response.result() == http::status::service_unavailable);
    REQUIRE(header(shed.response, "Knapweed-Not-Run") == "true");
    REQUIRE(read("/runs/k3")["runs"].empty());
    REQUIRE(read("/runs/k2")["runs"].size() == 1);
    REQUIRE(read("/statistics")["most_slots_in_use"] == 2);
}

// Guards against answers that can't be told from late copies of answers to other runs.
TEST_CASE_METHOD(backend_fixture, "an answer repeats the id of its run")
{
    const auto run_id_of_answer = [this](const std::string& run_id) {
        const auto headers = std::map<std::string, std::string>{{"Knapweed-Run-Id", run_id}};
        return header(call(server.port(), http::verb::post, "/work", "", headers).response,
                      "Knapweed-Run-Id");
    };
    REQUIRE(run_id_of_answer("k1") == "k1");
    start_long_run("k2", first_result);
    start_long_run("k3", second_result);
    REQUIRE(run_id_of_answer("k4") == "k4"); // shed
    call(server.port(), http::verb::delete_, "/runs/k2");
    run_until([this] { return first_result.has_value(); });
    REQUIRE(header(first_result->response, "Knapweed-Run-Id") == "k2");
    const exchange_result without_id = call(server.port(), http::verb::post, "/work");
    REQUIRE_FALSE(without_id.response.count("Knapweed-Run-Id"));
}

// Guards against a cancelled run that keeps its slot.
TEST_CASE_METHOD(backend_fixture, "a run ends and frees its slot when it is cancelled")
{
    start_long_run("k1", first_result);
    REQUIRE(call(server.port(), http::verb::delete_, "/runs/other").response.result() ==
            http::status::not_found);
    REQUIRE(call(server.port(), http::verb::delete_, "/runs/k1").response.result() == http::status::ok);
    run_until([this] { return first_result.has_value(); });
    REQUIRE(first_result->response.result_int() == 499);
    REQUIRE(read("/statistics")["busy"] == 0);
    REQUIRE(read("/statistics")["cancelled"] == 1);
}

// Guards against a run that continues after the request's deadline.
TEST_CASE_METHOD(backend_fixture, "a run ends with status 504 when its deadline passes")
{
    const exchange_result result = call(server.port(), http::verb::get, "/work?run_ms=3600000", "",
                                        {{"Knapweed-Timeout-Ms", "1"}, {"Idempotency-Key", "k1"}});
    REQUIRE(result.response.result() == http::status::gateway_timeout);
    REQUIRE(read("/statistics")["deadline_passed"] == 1);
}

// Guards against a crash that still answers requests, or after which the server keeps accepting connections.
TEST_CASE_METHOD(backend_fixture,
                 "all connections close without answers and new ones are refused after a crash")
{
    start_long_run("k1", first_result);
    REQUIRE(call(server.port(), http::verb::post, "/crash", "", {{"Idempotency-Key", "k2"}}).status ==
            exchange_status::no_answer);
    run_until([this] { return first_result.has_value(); });
    REQUIRE(first_result->status == exchange_status::no_answer);
    REQUIRE(call(server.port(), http::verb::get, "/work").status == exchange_status::not_connected);
    REQUIRE(ledger.list("k2")["runs"].size() == 1);
}

// Guards against health answers that are more recent than those of a real server.
TEST_CASE_METHOD(backend_fixture,
                 "health answers report the state after a lag, or the overridden state when one is set")
{
    start_long_run("k1", first_result);
    const nlohmann::json leaving{{"leaving", true}};
    REQUIRE(call(server.port(), http::verb::post, "/control", leaving.dump()).response.result() ==
            http::status::ok);
    REQUIRE(read("/health") == nlohmann::json{{"healthy", true}, {"leaving", false}, {"busy", 0}});
    clock.advance(core::milliseconds{1000});
    REQUIRE(read("/health") == nlohmann::json{{"healthy", true}, {"leaving", true}, {"busy", 1}});
    const nlohmann::json health_override{{"health_lie", "full"}};
    REQUIRE(call(server.port(), http::verb::post, "/control", health_override.dump()).response.result() ==
            http::status::ok);
    REQUIRE(read("/health")["busy"] == 2);
}

// Guards against a ledger that overlooks a doubled run, or that counts retries of idempotent requests as
// doubled.
TEST_CASE_METHOD(backend_fixture, "a key that runs twice counts as doubled only when it is not idempotent")
{
    const auto run_twice = [this](const std::string& key, const std::string& idempotent) {
        for (int i = 0; i < 2; ++i)
            call(server.port(), http::verb::post, "/work", "",
                 {{"Knapweed-Caller", "c"}, {"Idempotency-Key", key}, {"Knapweed-Idempotent", idempotent}});
    };
    run_twice("k1", "true");
    REQUIRE(read("/statistics")["doubled_runs"] == 0);
    run_twice("k2", "false");
    REQUIRE(read("/statistics")["doubled_runs"] == 1);
    REQUIRE(read("/runs/k2")["runs"][0]["runs"] == 2);
}
