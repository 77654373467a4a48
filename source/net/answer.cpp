#include "net/answer.h"

#include "net/request_head.h"

#include <nlohmann/json.hpp>

namespace knapweed::net {

namespace {

using nlohmann::json;

std::string dump(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

whole_answer make_refusal(core::refusal_reason reason, const std::string& detail, const std::string& ticket,
                          core::milliseconds retry_after)
{
    const std::string name(core::name_of(reason));
    whole_answer answer;
    answer.status = status_of(reason);
    answer.fields = {{"Knapweed-Outcome", "refused"}, {"Knapweed-Reason", name}};
    if (!ticket.empty())
        answer.fields.push_back({"Knapweed-Ticket", ticket});
    if (retry_after.count() > 0)
        answer.fields.push_back({"Retry-After-Ms", std::to_string(retry_after.count())});
    answer.body = dump({{"outcome", "refused"}, {"reason", name}, {"detail", detail}});
    return answer;
}

whole_answer make_answer(const decision::answer_lookup& action)
{
    auto endpoints = json::array();
    for (const auto& endpoint : action.answer.endpoints)
        endpoints.push_back({{"instance", endpoint.instance.str()}, {"address", endpoint.address}});
    whole_answer answer;
    answer.fields = {{"Knapweed-Outcome", "done"}};
    answer.body = dump({{"endpoints", std::move(endpoints)},
                        {"ticket", action.answer.ticket},
                        {"ttl_ms", action.answer.ttl.count()},
                        {"degraded", action.answer.degraded}});
    return answer;
}

whole_answer make_answer(const decision::answer_refused& action)
{
    return make_refusal(action.reason, "the request was not run", action.ticket, action.retry_after);
}

whole_answer make_answer(const decision::answer_unknown& action)
{
    const std::string name(core::name_of(action.reason));
    whole_answer answer;
    answer.status = 504;
    answer.fields = {{"Knapweed-Outcome", "unknown"}, {"Knapweed-Reason", name}};
    answer.body = dump(
        {{"outcome", "unknown"}, {"reason", name}, {"detail", "the request may have run, at most once"}});
    return answer;
}

whole_answer make_answer(const decision::answer_stored& action)
{
    return {
        action.answer.status, action.answer.content_type, {{"Knapweed-Outcome", "done"}}, action.answer.body};
}

whole_answer make_answer(const decision::answer_operator& action)
{
    auto result = json::parse(action.json, nullptr, false);
    if (!result.is_object())
        result = {{"text", action.json}};
    result["accepted"] = action.accepted;
    whole_answer answer;
    answer.body = dump(result);
    return answer;
}

} // namespace knapweed::net
