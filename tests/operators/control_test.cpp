#include "operators/operators.h"

#include <catch2/catch.hpp>
#include <map>
#include <nlohmann/json.hpp>

using namespace knapweed;
using namespace operators;
using namespace std::chrono_literals;

namespace {

/** Simulated instances by address, each with the result of a change and its versions in force. Addresses that
    are not listed are unreachable. */
struct fake_instances {
    struct instance {
        std::string result;
        std::vector<std::uint64_t> versions; ///< one for each poll; the last one is repeated
    };
    std::map<std::string, instance> instances;
    std::vector<std::string> operations;

    call_result call(const std::string& address, const std::string& request)
    {
        const auto json = nlohmann::json::parse(request);
        operations.push_back(json["params"]["operation"]);
        const auto found = instances.find(address);
        if (found == instances.end())
            return {};
        if (json["params"]["command"] != "status")
            return {true, found->second.result};
        auto& versions = found->second.versions;
        const auto version = versions.front();
        if (versions.size() > 1)
            versions.erase(versions.begin());
        return {true, R"({"result": {"configuration_version": )" + std::to_string(version) + "}}"};
    }
    control_outcome run(const std::vector<std::string>& arguments)
    {
        std::vector<std::string> command_line{"knapweedctl"};
        command_line.insert(command_line.end(), arguments.begin(), arguments.end());
        auto parsed = parse_control_options(command_line);
        if (const auto* text = std::get_if<control_text>(&parsed))
            return {text->code, text->text, ""};
        core::milliseconds passed{0};
        control_session session{
            std::get<control_options>(parsed), "op-1",
            [this](const auto& address, const auto& request, auto) { return call(address, request); },
            [&passed](core::milliseconds step) { return passed += step; }};
        return session.run();
    }
};

const std::string changed = R"({"result": {"accepted": true, "version": 5}})";
const std::string one = "127.0.0.1:1";
const std::string two = "127.0.0.1:2";

} // namespace

// Guards against scripts that treat a mistake or a refusal as success.
TEST_CASE_METHOD(fake_instances, "the exit code differs for usage errors, refusals and unreachable instances")
{
    instances[one] = {R"({"error": {"code": 1, "message": "no"}})", {1}};
    instances[two] = {R"({"result": {"accepted": false, "error": "conflict"}})", {1}};
    REQUIRE(run({"--help"}).code == exit_code::ok);
    REQUIRE(run({"--version"}).output.starts_with("knapweedctl "));
    REQUIRE(run({}).code == exit_code::usage);
    REQUIRE(run({"status"}).code == exit_code::usage); // no instance
    REQUIRE(run({"--instance", "nowhere", "status"}).code == exit_code::usage);
    REQUIRE(run({"--instance"}).code == exit_code::usage);
    REQUIRE(run({"--colour", "--instance", one, "status"}).code == exit_code::usage);
    const auto misspelt = run({"--instance", one, "drian", "data_centre", "a1"});
    REQUIRE(misspelt.code == exit_code::usage);
    REQUIRE(misspelt.errors.find("`drain`") != std::string::npos);
    REQUIRE(operations.empty());
    REQUIRE(run({"--instance", one, "config", "show"}).code == exit_code::refused);
    REQUIRE(run({"--instance", two, "drain", "data_centre", "a1"}).code == exit_code::refused);
    REQUIRE(run({"--instance", "127.0.0.1:3", "status"}).code == exit_code::unreachable);
}

// Guards against a change that is made twice because it was sent to a second instance.
TEST_CASE_METHOD(fake_instances,
                 "when an instance is unreachable the next one receives the same operation identifier")
{
    instances[two] = {changed, {5}};
    const auto outcome = run({"--instance", one, "--instance", two, "drain", "data_centre", "a1"});
    REQUIRE(outcome.code == exit_code::ok);
    REQUIRE(outcome.output == "accepted=true version=5\n");
    REQUIRE(outcome.errors.find(one) != std::string::npos);
    REQUIRE(operations == std::vector<std::string>{"op-1", "op-1"});
    REQUIRE(run({"--json", "--instance", two, "drain", "data_centre", "a1"}).output ==
            "{\"accepted\":true,\"version\":5}\n");
}

// Guards against a wait that ends too early, never ends, or does not report an instance with an older
// version.
TEST_CASE_METHOD(fake_instances, "wait ends when the version is in force on all reachable instances")
{
    const std::vector<std::string> drain{"--wait",     "--instance",  one,     "--instance",  two,
                                         "--instance", "127.0.0.1:3", "drain", "data_centre", "a1"};
    instances[one] = {changed, {4, 4, 5}};
    instances[two] = {changed, {4, 6}};
    auto outcome = run(drain);
    REQUIRE(outcome.code == exit_code::ok);
    REQUIRE(outcome.errors.find("unreachable, so not known to have version 5: 127.0.0.1:3") !=
            std::string::npos);
    REQUIRE(instances[one].versions.size() == 1);
    instances[two].versions = {4};
    outcome = run(drain);
    REQUIRE(outcome.code == exit_code::refused);
    REQUIRE(outcome.errors.find("not yet in force on: 127.0.0.1:2") != std::string::npos);
}
