#include "operators/node_reports.h"

#include "state/configuration_json.h"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace knapweed::operators {

namespace {

using nlohmann::json;

std::string hexadecimal(std::uint64_t value)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016" PRIx64, value);
    return text.data();
}

std::string age_text(const json& age)
{
    return age.is_null() ? "never" : std::to_string(age.get<std::int64_t>()) + " ms ago";
}

std::string status_text(const json& status)
{
    const auto name = [&status](const char* key) { return status[key].get<std::string>(); };
    const auto& platform = status["platform"];
    std::string text = name("instance") + " in " + name("data_centre") + " (" + name("region") +
                       "), version " + status["configuration_version"].dump() +
                       (status["leaving"].get<bool>() ? ", leaving" : "") + ", " +
                       status["requests_in_progress"].dump() + " requests in progress\n";
    text += std::string{"platform "} + (platform["reachable"].get<bool>() ? "reachable" : "unreachable") +
            ", table last read " + age_text(platform["last_read_age_ms"]);
    for (const auto& member : status["members"]) {
        text += "\nmember " + member["instance"].get<std::string>() + " " +
                member["state"].get<std::string>() + " " + member["data_centre"].get<std::string>() + " " +
                member["address"].get<std::string>() + " version " + member["configuration_version"].dump();
    }
    for (const auto& pool : status["pools"]) {
        text += "\npool " + pool["service"].get<std::string>() + " in " +
                pool["data_centre"].get<std::string>() + ": " + pool["busy"].dump() + " of " +
                pool["usable_slots"].dump() + " usable slots busy (" + pool["slots"].dump() +
                " configured), queued " + pool["queued"].dump();
    }
    for (const auto& impairment : status["cannot"])
        text += "\ncannot " + impairment.get<std::string>();
    return text;
}

} // namespace

command_answer node_reports::status() const
{
    const auto& shared = node_.shared();
    command_answer answer;
    answer.body = {{"instance", shared.options.instance.str()},
                   {"address", shared.options.address},
                   {"data_centre", shared.options.data_centre.str()},
                   {"region", shared.options.region.str()},
                   {"incarnation", shared.options.incarnation.value},
                   {"configuration_version", node_.configuration().version()},
                   {"leaving", node_.leaving()},
                   {"platform",
                    {{"reachable", node_.platform().is_reachable()},
                     {"last_read_age_ms", age_or_null(last_read_age())},
                     {"reads_table", node_.configuration().is_reader()}}},
                   {"members", members()},
                   {"pools", owned_pools()},
                   {"requests_in_progress", node_.requests().in_progress()},
                   {"cannot", impairments()}};
    if (!node_.configuration().last_rejection().empty())
        answer.body["rejected_configuration"] = node_.configuration().last_rejection();
    answer.body["text"] = status_text(answer.body);
    return answer;
}

std::optional<core::duration> node_reports::last_read_age() const
{
    const auto last = node_.configuration().last_read();
    return last ? std::optional{node_.shared().time.now() - *last} : std::nullopt;
}

json node_reports::members() const
{
    const auto& known = node_.shared().members;
    json list = json::array();
    for (const auto& [instance, member] : known.all()) {
        const bool is_self = instance == node_.shared().options.instance;
        list.push_back({{"instance", instance.str()},
                        {"address", member.address},
                        {"data_centre", member.data_centre.str()},
                        {"region", member.region.str()},
                        {"state", core::name_of(member.state)},
                        {"silent_ms", is_self ? 0 : to_milliseconds(known.time_since_heartbeat(member))},
                        {"configuration_version",
                         is_self ? node_.configuration().version() : member.configuration_version}});
    }
    return list;
}

json node_reports::owned_pools() const
{
    json list = json::array();
    for (const auto& [id, pool] : node_.pools().pools()) {
        if (!pool->owned())
            continue;
        json queued;
        for (const auto rank : core::all_ranks)
            queued[std::string{core::name_of(rank)}] = pool->queued(rank);
        list.push_back({{"service", id.service.str()},
                        {"data_centre", id.data_centre.str()},
                        {"slots", pool->slots()},
                        {"usable_slots", pool->servers().usable(node_.shared().time.now())},
                        {"busy", pool->busy()},
                        {"queued", std::move(queued)},
                        {"disputed", pool->disputed()}});
    }
    return list;
}

std::vector<std::string> node_reports::impairments() const
{
    std::vector<std::string> list;
    if (!node_.platform().is_reachable()) {
        list.emplace_back("change the configuration or read its history: the platform is unreachable");
        list.emplace_back(
            "bind requests that carry a key but no ticket (claims): the platform is unreachable");
    }
    if (node_.configuration().version() == 0)
        list.emplace_back("serve any service: no configuration is known yet");
    if (node_.shared().members.is_isolated())
        list.emplace_back("use pools of other instances: no peer sends heartbeats");
    if (node_.shared().members.is_replaced())
        list.emplace_back("act under its name: a newer incarnation of this instance is running");
    if (node_.leaving())
        list.emplace_back("take new callers or own pools: this instance is leaving");
    return list;
}

command_answer node_reports::configuration() const
{
    const auto& current = node_.configuration().current();
    if (current.version() == 0)
        return refuse("no configuration is known yet");
    const auto text = state::to_json(current);
    return {true,
            {{"version", current.version()},
             {"configuration", json::parse(text, nullptr, false)},
             {"text", text}}};
}

command_answer node_reports::quarantines() const
{
    const auto since_epoch = node_.shared().time.wall_now().time_since_epoch();
    const auto now = std::chrono::duration_cast<core::milliseconds>(since_epoch).count();
    json list = json::array();
    std::string text;
    for (const auto& notice : node_.guard().notices()) {
        const auto left = static_cast<std::int64_t>(notice.expires_unix_ms()) - now;
        const auto name = hexadecimal(notice.fingerprint());
        list.push_back({{"fingerprint", name}, {"expires_in_ms", left}});
        text += (text.empty() ? "" : "\n") + name + " for " + std::to_string(left) + " ms more";
    }
    if (list.empty())
        text = "nothing is quarantined";
    return {true,
            {{"quarantined", std::move(list)},
             {"suspects", node_.guard().suspects()},
             {"text", std::move(text)}}};
}

command_answer node_reports::why_request(const std::string& request) const
{
    const auto steps = node_.shared().trace.steps(request);
    if (steps.empty()) {
        return refuse(
            "no steps are stored for request " + request + " on " + node_.shared().options.instance.str() +
            "; ask the instance that received it (only the latest requests with a key are remembered)");
    }
    json list = json::array();
    std::string text = "request " + request;
    for (const auto& step : steps) {
        const auto age = to_milliseconds(node_.shared().time.now() - step.at);
        const std::string name{core::name_of(step.step)};
        list.push_back({{"step", name}, {"age_ms", age}, {"detail", step.detail}});
        text += "\n" + std::to_string(age) + " ms ago: " + name + ": " + step.detail;
    }
    return {true, {{"request", request}, {"steps", std::move(list)}, {"text", std::move(text)}}};
}

} // namespace knapweed::operators
