#include "stand_ins/load/answer_check.h"

#include "core/reasons.h"
#include "stand_ins/backend/answer_body.h"

namespace knapweed::stand_ins {

namespace {

answer_verdict malformed(std::string reason)
{
    return {answer_kind::malformed, std::move(reason)};
}

answer_verdict check_done(const http_response& response, std::string_view key)
{
    const std::string echo = header(response, "Echo-Key");
    if (!echo.empty() && echo != key)
        return {answer_kind::crossed, ""};
    const bool json = header(response, "Content-Type").starts_with("application/json");
    switch (check_answer_body(response.body(), key, json ? answer_format::json : answer_format::bytes)) {
    case body_verdict::intact:
        return {answer_kind::done, response.result_int() < 400 ? "" : std::to_string(response.result_int())};
    case body_verdict::crossed:
        return {answer_kind::crossed, ""};
    case body_verdict::truncated:
        break;
    }
    return {answer_kind::truncated, ""};
}

/** Checks that the headers and the JSON body state the same outcome and reason, and that the reason is
    a value of the enumeration. */
template <typename Reason>
answer_verdict check_not_done(const http_response& response, answer_kind kind, const std::string& outcome)
{
    const std::string reason = header(response, "Knapweed-Reason");
    if (!core::parse_name<Reason>(reason))
        return malformed("reason_of_" + outcome);
    const nlohmann::json body = nlohmann::json::parse(response.body(), nullptr, false);
    if (!body.is_object() || body.value("outcome", nlohmann::json{}) != outcome ||
        body.value("reason", nlohmann::json{}) != reason)
        return malformed("body_of_" + outcome);
    return {kind, reason};
}

} // namespace

answer_verdict check_entry_answer(const http_response& response, std::string_view key)
{
    const std::string outcome = header(response, "Knapweed-Outcome");
    const unsigned status = response.result_int();
    if (outcome == "done")
        return check_done(response, key);
    if (outcome == "refused") {
        if (status != 503 && (status < 400 || status >= 500))
            return malformed("status_of_refused");
        return check_not_done<core::refusal_reason>(response, answer_kind::refused, outcome);
    }
    if (outcome == "unknown") {
        if (status != 504)
            return malformed("status_of_unknown");
        return check_not_done<core::unknown_reason>(response, answer_kind::unknown, outcome);
    }
    return malformed(outcome.empty() ? "no_outcome_header" : "outcome_header");
}

answer_verdict check_backend_answer(const http_response& response, std::string_view key)
{
    if (header(response, "Knapweed-Not-Run") == "true")
        return {answer_kind::refused, "server_refused"};
    return check_done(response, key);
}

} // namespace knapweed::stand_ins
