#include "operators/control_session.h"

#include "operators/apply_command.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

namespace knapweed::operators {

namespace {

using nlohmann::json;

struct reply {
    bool accepted = false;
    json result; ///< result or error object of the JSON-RPC response
};

/** Parses a reply. One that is not a JSON-RPC response is treated as refused, because another program than an
    instance answered. */
reply read_reply(const std::string& body)
{
    const auto response = json::parse(body, nullptr, false);
    if (!response.is_object())
        return {false, {{"error", "the answer is not a JSON-RPC response"}}};
    if (response.contains("error") && !response["error"].is_null())
        return {false, response["error"]};
    if (!response.contains("result"))
        return {false, {{"error", "the answer is not a JSON-RPC response"}}};
    const auto& result = response["result"];
    const bool refused = result.is_object() && result.contains("accepted") && result["accepted"] == false;
    return {!refused, result};
}

std::uint64_t number_in(const json& object, const char* key)
{
    const bool has_number = object.is_object() && object.contains(key) && object[key].is_number_unsigned();
    return has_number ? object[key].get<std::uint64_t>() : 0;
}

void append_pairs(const json& value, const std::string& prefix, std::string& line)
{
    if (value.is_object() && !value.empty()) {
        for (const auto& [key, member] : value.items())
            append_pairs(member, prefix.empty() ? key : std::string{prefix}.append(".").append(key), line);
        return;
    }
    line += (line.empty() ? "" : " ") + (prefix.empty() ? "" : prefix + "=");
    line += value.dump();
}

std::string join(const std::vector<std::string>& words)
{
    std::string text;
    for (const auto& word : words)
        text += (text.empty() ? "" : ", ") + word;
    return text;
}

} // namespace

control_session::control_session(control_options options, std::string operation, call_function call,
                                 wait_function wait)
    : options_(std::move(options)), operation_(std::move(operation)), call_(std::move(call)),
      wait_(std::move(wait))
{}

control_outcome control_session::run()
{
    const auto parsed = parse_command(options_.command);
    if (const auto* error = std::get_if<command_error>(&parsed))
        return {exit_code::usage, "", "knapweedctl: " + describe(*error) + "\n"};
    control_outcome outcome;
    call_result called;
    for (const auto& address : options_.instances) {
        called = call_(address, request(options_.command), command_timeout);
        if (called.reached)
            break;
        outcome.errors += "knapweedctl: " + address + " is unreachable\n";
    }
    if (!called.reached) {
        outcome.code = exit_code::unreachable;
        return outcome;
    }
    const auto answer = read_reply(called.body);
    const auto text = answer.result.dump();
    outcome.output = (options_.json ? text : one_line(text)) + "\n";
    outcome.code = answer.accepted ? exit_code::ok : exit_code::refused;
    const auto version = number_in(answer.result, "version");
    const bool is_change = changes_configuration(std::get<command>(parsed));
    if (answer.accepted && options_.wait && is_change) {
        if (version > 0)
            wait_until_in_force(version, outcome);
        else
            outcome.errors += "knapweedctl: the answer contains no version to wait for\n";
    }
    return outcome;
}

std::string control_session::request(const std::string& line) const
{
    const json params{{"command", line}, {"operation", operation_}, {"operator", options_.operator_name}};
    return json{{"jsonrpc", "2.0"}, {"id", 1}, {"method", "execute"}, {"params", params}}.dump();
}

void control_session::wait_until_in_force(std::uint64_t version, control_outcome& outcome)
{
    // Consecutive polls without an answer, by address of each instance that has not reported the version yet.
    std::map<std::string, unsigned> pending_instances;
    for (const auto& address : options_.instances)
        pending_instances[address] = 0;
    for (core::milliseconds passed{0}; passed < options_.timeout; passed = wait_(poll_interval)) {
        for (auto entry = pending_instances.begin(); entry != pending_instances.end();) {
            auto& [address, unanswered_polls] = *entry;
            const auto called = call_(address, request("status"), poll_timeout);
            unanswered_polls = called.reached ? 0 : unanswered_polls + 1;
            const bool in_force = called.reached && number_in(read_reply(called.body).result,
                                                              "configuration_version") >= version;
            entry = in_force ? pending_instances.erase(entry) : std::next(entry);
        }
        const bool is_done =
            std::all_of(pending_instances.begin(), pending_instances.end(),
                        [](const auto& entry) { return entry.second >= max_unanswered_polls; });
        if (is_done)
            break;
    }
    std::vector<std::string> unreachable;
    std::vector<std::string> behind;
    for (const auto& [address, unanswered_polls] : pending_instances)
        (unanswered_polls > 0 ? unreachable : behind).push_back(address);
    const auto name = "version " + std::to_string(version);
    if (!unreachable.empty())
        outcome.errors +=
            "knapweedctl: unreachable, so not known to have " + name + ": " + join(unreachable) + "\n";
    if (!behind.empty()) {
        outcome.errors += "knapweedctl: " + name + " is not yet in force on: " + join(behind) + "\n";
        outcome.code = exit_code::refused;
    }
}

std::string one_line(const std::string& text)
{
    const auto value = json::parse(text, nullptr, false);
    if (value.is_discarded())
        return text;
    if (value.is_object() && value.contains("text") && value["text"].is_string())
        return value["text"].get<std::string>();
    std::string line;
    append_pairs(value, "", line);
    return line;
}

} // namespace knapweed::operators
