#include "net/request_head.h"

#include "net/parse_number.h"
#include "state/configuration_rules.h"

#include <algorithm>

namespace knapweed::net {

namespace {

constexpr std::size_t key_limit = 128;
constexpr std::size_t ticket_limit = 1024;
constexpr std::uint64_t timeout_limit_ms = 600000;
constexpr core::milliseconds default_timeout{30000};
constexpr std::string_view services_prefix = "/v1/services/";

bool is_printable(std::string_view text, std::size_t limit)
{
    const auto printable = [](char c) { return c > ' ' && c < '\x7f'; };
    return text.size() <= limit && std::all_of(text.begin(), text.end(), printable);
}

head_failure malformed(std::string detail)
{
    return {core::refusal_reason::malformed_request, std::move(detail)};
}

/** Splits `/v1/services/S/PATH` into the service and the target for the backend server.
    @returns a failure if the path contains no valid service name. */
std::optional<head_failure> read_target(std::string_view target, service_request_head& head)
{
    target.remove_prefix(services_prefix.size());
    const auto end = std::min(target.find_first_of("/?"), target.size());
    const auto service = target.substr(0, end);
    if (!state::is_name(service))
        return head_failure{core::refusal_reason::unknown_path, "the path names no service"};
    head.meta.service = core::service_id{service};
    head.backend_target = target.substr(end);
    if (head.backend_target.empty() || head.backend_target.front() != '/')
        head.backend_target.insert(0, "/");
    return std::nullopt;
}

std::optional<head_failure> read_rank_and_timeout(const field_lookup& field, decision::request_meta& meta)
{
    if (const auto text = field("Knapweed-Rank"); !text.empty()) {
        const auto rank = core::parse_name<core::rank>(text);
        if (!rank)
            return malformed("Knapweed-Rank must be urgent, standard or bulk");
        meta.rank = *rank;
    }
    meta.timeout = default_timeout;
    if (const auto text = field("Knapweed-Timeout-Ms"); !text.empty()) {
        const auto number = parse_number(text);
        if (!number || *number == 0 || *number > timeout_limit_ms)
            return malformed("Knapweed-Timeout-Ms must be a number from 1 to 600000");
        meta.timeout = core::milliseconds(*number);
    }
    return std::nullopt;
}

std::optional<head_failure> read_identity(std::string_view method, const field_lookup& field,
                                          decision::request_meta& meta)
{
    const auto caller = field("Knapweed-Caller");
    if (!state::is_name(caller))
        return malformed("Knapweed-Caller is required: 1 to 64 characters of [A-Za-z0-9._-]");
    meta.caller = core::caller_id{caller};
    const auto idempotent = field("Knapweed-Idempotent");
    if (!idempotent.empty() && idempotent != "true" && idempotent != "false")
        return malformed("Knapweed-Idempotent must be true or false");
    meta.idempotent = idempotent.empty() ? method == "GET" : idempotent == "true";
    const auto ticket = field("Knapweed-Ticket");
    if (!is_printable(ticket, ticket_limit))
        return malformed("Knapweed-Ticket must be at most 1024 printable characters without spaces");
    meta.ticket = ticket;
    const auto key = field("Idempotency-Key");
    if (!is_printable(key, key_limit))
        return malformed("Idempotency-Key must be 1 to 128 printable characters without spaces");
    if (key.empty() && !meta.idempotent)
        return malformed("Idempotency-Key is required unless the request is idempotent");
    meta.key = key;
    return std::nullopt;
}

std::optional<head_failure> read_hop(const field_lookup& field, service_request_head& head)
{
    if (const auto text = field("Knapweed-Hop"); !text.empty()) {
        const auto hop = core::parse_name<decision::hop>(text);
        if (!hop || *hop == decision::hop::caller)
            return malformed("Knapweed-Hop must be request_owner or pool");
        head.from = *hop;
        head.sender = core::instance_id{field("Knapweed-From")};
        head.pool_data_centre = core::data_centre_id{field("Knapweed-Pool")};
        if (!state::is_name(head.sender.str()))
            return malformed("Knapweed-From must name the instance that relays the request");
        if (head.from == decision::hop::pool && !state::is_name(head.pool_data_centre.str()))
            return malformed("Knapweed-Pool must name the data centre of the pool");
    }
    if (const auto text = field("Knapweed-Body-Hash"); !text.empty()) {
        head.announced_body_hash = parse_number(text, 16);
        if (!head.announced_body_hash)
            return malformed("Knapweed-Body-Hash must be a hexadecimal number");
    }
    return std::nullopt;
}

} // namespace

parsed_head parse_service_request(std::string_view method, std::string_view target, const field_lookup& field)
{
    if (method != "GET" && method != "POST" && method != "PUT" && method != "DELETE")
        return malformed("the method must be GET, POST, PUT or DELETE");
    service_request_head head;
    if (auto failure = read_target(target, head))
        return *failure;
    if (auto failure = read_identity(method, field, head.meta))
        return *failure;
    if (auto failure = read_rank_and_timeout(field, head.meta))
        return *failure;
    if (auto failure = read_hop(field, head))
        return *failure;
    head.meta.operation = std::string(method) + " " + head.backend_target;
    return head;
}

std::variant<lookup_head, head_failure> parse_lookup(std::string_view target, const field_lookup& field)
{
    lookup_head head;
    const auto query_start = target.find('?');
    auto query = query_start == std::string_view::npos ? std::string_view{} : target.substr(query_start + 1);
    while (!query.empty()) {
        const auto part = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(part.size() + 1, query.size()));
        if (part.starts_with("service="))
            head.service = core::service_id{part.substr(part.find('=') + 1)};
    }
    if (!state::is_name(head.service.str()))
        return malformed("the query must name a service: /v1/lookup?service=S");
    const auto caller = field("Knapweed-Caller");
    if (!caller.empty() && !state::is_name(caller))
        return malformed("Knapweed-Caller must be 1 to 64 characters of [A-Za-z0-9._-]");
    head.caller = core::caller_id{caller};
    return head;
}

unsigned status_of(core::refusal_reason reason)
{
    switch (reason) {
    case core::refusal_reason::malformed_request:
    case core::refusal_reason::damaged_ticket:
        return 400;
    case core::refusal_reason::unknown_service:
    case core::refusal_reason::unknown_path:
        return 404;
    case core::refusal_reason::key_reused:
        return 409;
    case core::refusal_reason::body_too_large:
        return 413;
    case core::refusal_reason::quarantined:
        return 422;
    case core::refusal_reason::header_too_large:
        return 431;
    default:
        return 503;
    }
}

} // namespace knapweed::net
