#include "operated_nodes.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using namespace std::chrono_literals;
using fault = tests::fake_platform::fault;
using nlohmann::json;
using tests::operated_nodes;

namespace {

bool mentions(const json& answer, const std::string& text)
{
    return answer.dump().find(text) != std::string::npos;
}

double weight_of(const json& where, const std::string& data_centre)
{
    for (const auto& place : where["data_centres"]) {
        if (place["data_centre"] == data_centre)
            return place["weight"];
    }
    return -1;
}

std::string reason_of(const json& why, const std::string& data_centre)
{
    for (const auto& place : why["data_centres"]) {
        if (place["data_centre"] == data_centre)
            return place["reason"];
    }
    return "absent";
}

/** Nodes of a platform whose configuration table is empty. */
struct unconfigured_nodes : operated_nodes {
    unconfigured_nodes() : operated_nodes(false) {}
};

} // namespace

// Guards against a new system that no command can configure, and against a first configuration that replaces
// another one.
TEST_CASE_METHOD(unconfigured_nodes,
                 "of two concurrent config apply commands only one makes the first configuration")
{
    auto first = tests::sample_configuration(1);
    first.set_version(0);
    const auto command = "config apply " + state::to_json(first);
    CHECK(mentions(ask(one(), "drain data_centre a1"), "no configuration is known yet"));
    const auto racing = send(two(), command, "op-2");
    const auto made = execute(one(), command);
    run(2000ms);
    const auto& other = two().answers.at(racing).front();
    INFO(made.dump() << " " << other.json);
    CHECK((made["accepted"] == true) != other.accepted);
    CHECK(one().node.configuration().version() == 1);
    CHECK(two().node.configuration().version() == 1);
}

// Guards against a change that is lost without a report to its operator, and against two answers to one
// command.
TEST_CASE_METHOD(
    operated_nodes,
    "of two concurrent changes one commits and the other operator receives the name of the first")
{
    const auto first = send(one(), "drain data_centre a1", "op-1", "ann");
    const auto second = send(two(), "cap orders 10 in 5", "op-2", "bea");
    one().node.handle(decision::exchange_closed{{first}}, one().actions);
    run(8s);
    auto winner = answer(one(), first);
    auto loser = answer(two(), second);
    std::string name = "ann";
    if (winner["accepted"] != true) {
        std::swap(winner, loser);
        name = "bea";
    }
    CHECK(winner["accepted"] == true);
    CHECK(winner["version"] == 2);
    REQUIRE(loser["accepted"] == false);
    CHECK(loser["status"] == "conflict");
    CHECK(loser["winner"]["version"] == 2);
    CHECK(loser["winner"]["operator"] == name);
    CHECK(one().node.configuration().version() == 2);
    CHECK(two().node.configuration().version() == 2);
}

// Guards against a committed change that is reported as failed, and against a repeated one that is made
// twice.
TEST_CASE_METHOD(operated_nodes, "a change whose answer was lost is reported as committed and made only once")
{
    platform.fail_writes(fault::lost_answer);
    const auto made = execute(one(), "drain data_centre a1", "op-1");
    CHECK(made["accepted"] == true);
    CHECK(made["version"] == 2);
    for (auto* again : {&one(), &two()}) {
        const auto repeated = execute(*again, "drain data_centre a1", "op-1");
        CHECK(repeated["accepted"] == true);
        CHECK(repeated["version"] == 2);
    }
    CHECK(one().node.configuration().version() == 2);
}

// Guards against a change that is reported as accepted while the store is down, and against an unclear
// reason.
TEST_CASE_METHOD(operated_nodes,
                 "while the store is down changes and the history are refused and status reports the reason")
{
    platform.fail_all(fault::unreachable);
    const auto change = execute(one(), "drain data_centre a1");
    CHECK(change["accepted"] == false);
    CHECK(change["status"] == "unreachable");
    CHECK(mentions(change, "the table service can't be reached; nothing was changed"));
    const auto history = execute(one(), "config history");
    CHECK(history["accepted"] == false);
    const auto status = ask(one(), "status");
    CHECK(status["accepted"] == true);
    CHECK(status["platform"]["reachable"] == false);
    CHECK(status["configuration_version"] == 1);
    CHECK(mentions(status["cannot"], "change the configuration"));
    CHECK(mentions(status["cannot"], "claims"));
    platform.fail_all(fault::none);
    run(15s);
    CHECK(ask(one(), "status")["cannot"].empty());
}

// Guards against a mistaken command that changes something, or that is answered without a suggestion or not
// at all.
TEST_CASE_METHOD(operated_nodes, "a mistaken command is refused with the most similar valid word")
{
    const auto misspelt = ask(one(), "drian data_centre a1");
    CHECK(misspelt["accepted"] == false);
    CHECK(mentions(misspelt, "did you mean `drain`?"));
    const auto wrong_name = ask(one(), "drain data_centre a11");
    CHECK(wrong_name["accepted"] == false);
    CHECK(mentions(wrong_name, "did you mean `a1`?"));
    CHECK(mentions(ask(one(), "where order"), "did you mean `orders`?"));
    CHECK(ask(one(), R"(config apply {"servces": []})")["accepted"] == false);
    CHECK(mentions(ask(one(), "config apply {}"), "would stop all traffic"));
    CHECK(mentions(ask(one(), R"(config apply {"services": [{"name": "no name"}]})"), "services[no name]"));
    CHECK(one().commands.in_progress() == 0);
    CHECK(one().node.configuration().version() == 1);
}

// Guards against an explanation that omits a decision or its age.
TEST_CASE_METHOD(operated_nodes, "why reports the steps of a request and the reason for each weight")
{
    decision::request_received request;
    request.exchange = {1000};
    request.request.service = core::service_id{"orders"};
    request.request.caller = core::caller_id{"workshop"};
    request.request.key = "k1";
    request.request.idempotent = true;
    request.request.timeout = 3s;
    one().node.handle(request, one().actions);
    carry_out(one());
    run(1s);
    const auto steps = ask(one(), "why workshop/k1")["steps"];
    std::vector<std::string> names;
    for (const auto& step : steps) {
        names.push_back(step["step"]);
        CHECK(step["age_ms"] == 1000);
    }
    CHECK(names == std::vector<std::string>{"received", "pool_chosen", "dispatched"});
    CHECK(ask(one(), "why workshop/k2")["accepted"] == false);

    CHECK(reason_of(ask(one(), "why orders"), "a2") == "serves");
    nodes.erase("127.0.0.1:7002");
    execute(one(), "drain data_centre a1");
    const auto why = ask(one(), "why orders");
    CHECK(reason_of(why, "a1") == "drained");
    CHECK(reason_of(why, "a2") == "no_owner");
    CHECK(mentions(why, "e2=failed"));
}

// Guards against a drain that exceeds the cap, never ends, or ends later than its forecast.
TEST_CASE_METHOD(operated_nodes, "a drain moves traffic within the cap and ends at the time of its forecast")
{
    REQUIRE(weight_of(ask(one(), "where orders"), "a2") == Approx(0.5));
    const auto exchange = send(one(), "drain data_centre a2");
    run(500ms);
    const auto accepted = answer(one(), exchange);
    REQUIRE(accepted["forecast"].size() == 1);
    CHECK(accepted["forecast"][0]["share"] == Approx(0.5));
    CHECK(accepted["forecast"][0]["seconds"] == 20); // 0.2 at once, 0.2 after 10 s, the rest after 20 s
    auto where = ask(one(), "where orders from r1");
    CHECK(weight_of(where, "a2") == Approx(0.3));
    CHECK(where["shift"]["in_progress"] == true);
    CHECK(where["shift"]["used"] == Approx(0.2));
    run(18s);
    CHECK(weight_of(ask(one(), "where orders"), "a2") == Approx(0.1));
    run(3s);
    where = ask(one(), "where orders");
    CHECK(weight_of(where, "a2") == 0);
    CHECK(where["shift"]["in_progress"] == false);
}

// Guards against an instance that stops another one, and against one that ignores its own drain.
TEST_CASE_METHOD(operated_nodes, "an instance drains only itself and answers with the address of another one")
{
    const auto other = ask(one(), "drain instance e2");
    CHECK(other["accepted"] == false);
    CHECK(other["address"] == "127.0.0.1:7002");
    CHECK_FALSE(two().node.leaving());
    CHECK(mentions(ask(one(), "drain instance e3"), "no instance is named e3"));
    CHECK(ask(two(), "drain instance e2")["accepted"] == true);
    CHECK(two().node.leaving());
    CHECK(ask(two(), "status")["leaving"] == true);
    run(1s);
    CHECK(one().node.shared().members.find(core::instance_id{"e2"})->state == state::member_state::leaving);
}

// Guards against a quarantine that is lifted on one instance only.
TEST_CASE_METHOD(operated_nodes, "a quarantine lifted on one instance is lifted on its peers")
{
    const auto since_epoch = time.wall_now().time_since_epoch() + 10min;
    wire::quarantine_notice notice;
    notice.set_fingerprint(0xabc);
    notice.set_expires_unix_ms(
        static_cast<std::uint64_t>(std::chrono::duration_cast<core::milliseconds>(since_epoch).count()));
    for (auto* operated : {&one(), &two()})
        REQUIRE(operated->node.guard().receive(notice));
    CHECK(ask(one(), "quarantine list")["quarantined"][0]["fingerprint"] == "0000000000000abc");
    CHECK(ask(one(), "quarantine lift abc")["accepted"] == true);
    CHECK(ask(two(), "quarantine list")["quarantined"].empty());
    CHECK(ask(one(), "quarantine lift abc")["accepted"] == false);
}

// Guards against a history without the names of operators, and against an output of config show that can't be
// applied.
TEST_CASE_METHOD(operated_nodes,
                 "the output of config show can be applied, and the history contains the names of operators")
{
    auto configuration = json::parse(ask(one(), "config show")["text"].get<std::string>());
    configuration["data_centres"][0]["drained"] = true;
    const auto exchange = send(one(), "config apply " + configuration.dump(), "op-1", "ann");
    run(2s);
    CHECK(answer(one(), exchange)["version"] == 2);
    CHECK(execute(two(), "config apply " + configuration.dump())["accepted"] == false); // made from version 1
    const auto history = execute(two(), "config history");
    REQUIRE(history["accepted"] == true);
    CHECK(history["versions"][0]["operator"] == "ann");
    CHECK(history["versions"][0]["summary"] == "config apply");
}
