#include "gateway/answer_rules.h"

#include "gateway/field_names.h"

#include <algorithm>
#include <array>

namespace knapweed::gateway {

namespace {

constexpr unsigned misdirected = 421;
constexpr unsigned first_server_error = 500;
constexpr unsigned unauthorised = 401;
constexpr unsigned not_found = 404;
constexpr unsigned too_many_requests = 429;
constexpr unsigned bad_gateway = 502;
constexpr unsigned unavailable = 503;
constexpr unsigned gateway_timeout = 504;

/** Statuses with which an instance answers a request that was not run and will not be. */
constexpr std::array<unsigned, 9> refusal_statuses{400,         unauthorised,      not_found, 408,        413,
                                                   misdirected, too_many_requests, 431,       unavailable};

constexpr std::array<std::string_view, 9> hop_by_hop_fields{
    "connection", "keep-alive",        "proxy-connection", "te",    "trailer",
    "upgrade",    "transfer-encoding", "content-length",   "expect"};

} // namespace

bool is_for_another_request(const answer_facts& answer)
{
    return answer.has_request_id && !answer.matches_request;
}

steering::attempt_outcome classify_answer(const answer_facts& answer)
{
    using steering::attempt_outcome;
    if (is_for_another_request(answer))
        return attempt_outcome::answer_invalid;
    const bool is_for_this_request = answer.matches_request || !answer.may_be_late;
    if (answer.status == misdirected && !answer.has_signature && is_for_this_request)
        return attempt_outcome::wrong_server;
    if (answer.marked_not_run && !answer.has_signature && is_for_this_request)
        return attempt_outcome::not_run;
    if (!answer.has_signature || !answer.matches_request || answer.encoded)
        return attempt_outcome::answer_invalid;
    return answer.status >= first_server_error ? attempt_outcome::server_failed : attempt_outcome::answered;
}

steering::relay_outcome classify_relayed_answer(const answer_facts& answer)
{
    using steering::relay_outcome;
    if (!answer.matches_request || answer.encoded)
        return relay_outcome::unknown;
    if (answer.has_signature)
        return relay_outcome::answered;
    const bool is_refusal =
        answer.states_reason &&
        std::find(refusal_statuses.begin(), refusal_statuses.end(), answer.status) != refusal_statuses.end();
    return is_refusal ? relay_outcome::refused : relay_outcome::unknown;
}

unsigned status_of(core::refusal_reason reason)
{
    switch (reason) {
    case core::refusal_reason::unknown_path:
        return not_found;
    case core::refusal_reason::unknown_api_key:
        return unauthorised;
    case core::refusal_reason::quota_exceeded:
        return too_many_requests;
    default:
        return unavailable;
    }
}

unsigned status_of(core::unknown_reason reason)
{
    return reason == core::unknown_reason::server_timeout ? gateway_timeout : bad_gateway;
}

steering::connect_failure classify_connect_error(const boost::system::error_code& error, bool limit_expired)
{
    using steering::connect_failure;
    namespace errc = boost::system::errc;
    if (!error)
        return connect_failure::none;
    if (limit_expired || error == errc::timed_out)
        return connect_failure::timed_out;
    if (error == errc::connection_refused || error == errc::connection_reset)
        return connect_failure::refused;
    return connect_failure::other;
}

bool is_hop_by_hop(std::string_view field, std::string_view connection_options)
{
    const auto is_field = [field](std::string_view name) { return is_same_field(field, name); };
    if (std::any_of(hop_by_hop_fields.begin(), hop_by_hop_fields.end(), is_field))
        return true;
    while (!connection_options.empty()) {
        const auto end = std::min(connection_options.find(','), connection_options.size());
        if (is_field(trim(connection_options.substr(0, end))))
            return true;
        connection_options.remove_prefix(std::min(end + 1, connection_options.size()));
    }
    return false;
}

} // namespace knapweed::gateway
