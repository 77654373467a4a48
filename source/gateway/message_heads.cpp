#include "gateway/message_heads.h"

#include "gateway/answer_rules.h"
#include "gateway/field_names.h"
#include "gateway/relay_fields.h"
#include "net/parse_number.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace knapweed::gateway {

namespace {

/** Fraction of the server's keep-alive time for which a connection is reused. In the rest of the time, the
   server could close the connection while a request is on its way. */
constexpr double reusable_idle_fraction = 0.75;
constexpr core::milliseconds default_idle_time{4000};
constexpr double max_parsed_seconds = 3600;

/** @returns the first line and the fields of a caller's request, without hop-by-hop fields, those that
   `is_dropped` selects, and the time limit, which is replaced by @p time_left. */
std::string begin_request_head(const caller_request& request, const http_dialect& dialect,
                               core::duration time_left,
                               const std::function<bool(std::string_view)>& is_dropped)
{
    const auto connection_options = request.field("connection");
    std::string head;
    head.reserve(512);
    head += request.method;
    head += ' ';
    head += request.target;
    head += " HTTP/1.1\r\n";
    for (const auto& field : request.fields) {
        const bool is_replaced = is_same_field(field.name, dialect.time_limit_field) ||
                                 is_same_field(field.name, dialect.expected_server_field) ||
                                 is_dropped(field.name);
        if (!is_replaced && !is_hop_by_hop(field.name, connection_options))
            append_field(head, field.name, field.value);
    }
    const auto left_ms = std::chrono::duration_cast<core::milliseconds>(time_left);
    append_field(head, dialect.time_limit_field,
                 std::to_string(std::max<core::milliseconds::rep>(left_ms.count(), 1)));
    return head;
}

/** Appends the length of the body and the empty line. */
void end_request_head(std::string& head, const caller_request& request)
{
    const bool has_length = !request.body.empty() || !request.field("content-length").empty();
    if (has_length || request.method == "POST" || request.method == "PUT")
        append_field(head, "Content-Length", std::to_string(request.body.size()));
    head += "\r\n";
}

std::optional<double> parse_number_of_seconds(std::string_view text)
{
    double seconds = 0;
    const auto* const end = text.data() + text.size();
    const auto [parse_end, error] = std::from_chars(text.data(), end, seconds);
    const bool valid = error == std::errc{} && parse_end == end && std::isfinite(seconds) && seconds >= 0;
    return valid ? std::optional(seconds) : std::nullopt;
}

core::duration to_duration(double seconds)
{
    return std::chrono::duration_cast<core::duration>(std::chrono::duration<double>(seconds));
}

} // namespace

void append_field(std::string& out, std::string_view name, std::string_view value)
{
    out += name;
    out += ": ";
    out += value;
    out += "\r\n";
}

std::string make_request_head(const caller_request& request, const http_dialect& dialect,
                              core::duration time_left, const core::server_id& target_server,
                              const account_statement& account)
{
    auto head = begin_request_head(request, dialect, time_left, [&](std::string_view name) {
        return account.replaces_fields &&
               (is_same_field(name, dialect.api_key_field) || is_same_field(name, dialect.account_field));
    });
    if (!account.account.empty())
        append_field(head, dialect.account_field, account.account);
    append_field(head, dialect.expected_server_field, target_server.str());
    end_request_head(head, request);
    return head;
}

std::string make_relay_head(const caller_request& request, const http_dialect& dialect,
                            core::duration time_left, const core::instance_id& own, unsigned max_sends)
{
    // A caller's own fields of these names would be taken for this instance's.
    auto head = begin_request_head(request, dialect, time_left, [](std::string_view name) {
        return is_same_field(name, relay_field) || is_same_field(name, relay_sends_field);
    });
    append_field(head, relay_field, own.str() + relay_separator + request.caller);
    append_field(head, relay_sends_field, std::to_string(max_sends));
    end_request_head(head, request);
    return head;
}

answer_head make_answer_head(const net::client_connection& connection, std::string_view method)
{
    answer_head head;
    head.status = connection.status();
    head.reason = connection.reason();
    const std::string connection_options(connection.field("connection"));
    connection.visit_fields([&head, &connection_options](std::string_view name, std::string_view value) {
        if (!is_hop_by_hop(name, connection_options))
            append_field(head.fields, name, value);
    });
    if (method == "HEAD")
        head.declared_length = connection.content_length().value_or(0);
    return head;
}

answer_head make_gateway_head(const http_dialect& dialect, std::string_view request_id, unsigned status,
                              std::string_view reason)
{
    answer_head head;
    head.status = status;
    head.reason = "Not served";
    if (!request_id.empty())
        append_field(head.fields, dialect.request_id_field, request_id);
    append_field(head.fields, reason_field, reason);
    return head;
}

std::string format_seconds(core::duration time)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(time).count());
    return text.data();
}

core::duration parse_seconds(std::string_view text)
{
    const auto seconds = parse_number_of_seconds(text);
    return !seconds || *seconds > max_parsed_seconds ? core::duration::zero() : to_duration(*seconds);
}

std::optional<core::duration> parse_rest(std::string_view text)
{
    const auto seconds = parse_number_of_seconds(text);
    return seconds ? std::optional(to_duration(std::min<double>(*seconds, max_parsed_seconds)))
                   : std::nullopt;
}

std::optional<core::milliseconds> parse_milliseconds(std::string_view text)
{
    constexpr core::milliseconds most = std::chrono::hours(24);
    const auto number = net::parse_number(text);
    if (!number)
        return std::nullopt;
    return core::milliseconds(std::min(*number, static_cast<std::uint64_t>(most.count())));
}

core::duration usable_idle_time(std::string_view keep_alive)
{
    constexpr std::string_view parameter = "timeout=";
    const auto position = keep_alive.find(parameter);
    if (position == std::string_view::npos)
        return default_idle_time;
    auto digits = keep_alive.substr(position + parameter.size());
    digits = digits.substr(0, digits.find_first_not_of("0123456789"));
    const auto seconds = net::parse_number(digits);
    if (!seconds)
        return default_idle_time;
    return to_duration(std::min(static_cast<double>(*seconds) * reusable_idle_fraction, max_parsed_seconds));
}

} // namespace knapweed::gateway
