#include "fuzz/fuzz_target.h"
#include "gateway/message_heads.h"
#include "gateway/relay_fields.h"
#include "gateway/relay_origin.h"
#include "platform/dialect.h"

#include <algorithm>

using namespace knapweed;

namespace {

/** @returns the request whose target is the first line of the input; each further line is a field. */
gateway::caller_request make_request(std::string_view input)
{
    gateway::caller_request request;
    request.method = "GET";
    const auto target_end = std::min(input.find('\n'), input.size());
    request.target = input.substr(0, target_end);
    input.remove_prefix(std::min(target_end + 1, input.size()));
    while (!input.empty()) {
        const auto end = std::min(input.find('\n'), input.size());
        const auto line = input.substr(0, end);
        input.remove_prefix(std::min(end + 1, input.size()));
        if (const auto colon = line.find(": "); colon != std::string_view::npos)
            request.fields.push_back(
                {std::string(line.substr(0, colon)), std::string(line.substr(colon + 2))});
    }
    return request;
}

void require_value_of(std::string_view value, std::string_view text, const char* name, const char* property)
{
    fuzz::require(value.empty() || text.find(std::string(name) + "=" + std::string(value)) != text.npos,
                  property);
}

} // namespace

// Guards against a request that ends the process, and one whose own fields are taken for those of an
// instance.
void fuzz::run_input(std::string_view input)
{
    auto request = make_request(input);
    require(request.target.starts_with(request.path()) && request.path().find('?') == std::string_view::npos,
            "the path is the target up to its query");
    for (const auto* name : {"after", "era", "service"}) {
        const auto value = request.query(name);
        require(value.find('&') == std::string_view::npos, "a parameter ends where the next one begins");
        require_value_of(value, request.target, name, "a parameter is a part of the query");
    }
    const auto cookie = request.cookie("Affinity-Key");
    require(cookie.find(';') == std::string_view::npos, "a cookie ends where the next one begins");
    const bool in_a_field =
        std::any_of(request.fields.begin(), request.fields.end(), [cookie](const net::header_field& field) {
            return field.value.find("Affinity-Key=" + std::string(cookie)) != std::string::npos;
        });
    require(cookie.empty() || in_a_field, "a cookie is a part of a field");

    const auto dialect = platform::make_dialect();
    constexpr std::chrono::seconds left{1};
    const auto head = gateway::make_request_head(request, dialect, left, core::server_id{"i-1"});
    require(head.ends_with("\r\n\r\n"), "a head ends with an empty line");
    const auto relayed = gateway::make_relay_head(request, dialect, left, core::instance_id{"own"}, 3);
    require(relayed.ends_with("\r\n\r\n"), "a head ends with an empty line");
    const auto origin = gateway::take_relay_origin(request);
    require(origin.max_sends >= 1 && origin.max_sends <= 8, "the sends of a relay are bounded");
    require(request.field(gateway::relay_field).empty() && request.field(gateway::relay_sends_field).empty(),
            "no server receives the fields of a relay");
}
