#include "gateway/answer_rules.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace knapweed::gateway {

namespace {

constexpr unsigned misdirected = 421;
constexpr unsigned first_server_error = 500;
constexpr unsigned not_found = 404;
constexpr unsigned bad_gateway = 502;
constexpr unsigned unavailable = 503;
constexpr unsigned gateway_timeout = 504;

constexpr std::array<std::string_view, 9> hop_by_hop_fields{
    "connection", "keep-alive",        "proxy-connection", "te",    "trailer",
    "upgrade",    "transfer-encoding", "content-length",   "expect"};

std::string lower(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return result;
}

} // namespace

bool is_for_another_request(const answer_facts& answer)
{
    return answer.names_request && !answer.names_this_request;
}

steering::attempt_outcome judge_answer(const answer_facts& answer)
{
    using steering::attempt_outcome;
    if (is_for_another_request(answer))
        return attempt_outcome::answer_invalid;
    if (answer.status == misdirected && !answer.sealed)
        return attempt_outcome::wrong_server;
    if (answer.says_not_run && !answer.sealed)
        return attempt_outcome::not_run;
    if (!answer.sealed || !answer.names_this_request || answer.encoded)
        return attempt_outcome::answer_invalid;
    return answer.status >= first_server_error ? attempt_outcome::server_failed : attempt_outcome::answered;
}

unsigned status_of(core::refusal_reason reason)
{
    return reason == core::refusal_reason::unknown_path ? not_found : unavailable;
}

unsigned status_of(core::unknown_reason reason)
{
    return reason == core::unknown_reason::server_timeout ? gateway_timeout : bad_gateway;
}

bool is_hop_by_hop(std::string_view field, std::string_view nominated)
{
    const auto name = lower(field);
    if (std::find(hop_by_hop_fields.begin(), hop_by_hop_fields.end(), name) != hop_by_hop_fields.end())
        return true;
    if (nominated.empty())
        return false;
    const auto list = "," + lower(nominated) + ",";
    const auto at = list.find(name);
    if (at == std::string::npos)
        return false;
    const auto before = list.find_last_not_of(" \t", at - 1);
    const auto after = list.find_first_not_of(" \t", at + name.size());
    return list[before] == ',' && list[after] == ',';
}

} // namespace knapweed::gateway
