#include "gateway/relay_origin.h"

#include "gateway/field_names.h"
#include "gateway/relay_fields.h"
#include "net/parse_number.h"

#include <algorithm>

namespace knapweed::gateway {

namespace {

constexpr std::size_t max_instance_bytes = 128;
constexpr std::size_t max_address_bytes = 64;
constexpr std::uint64_t max_relayed_sends = 8;

} // namespace

relay_origin take_relay_origin(caller_request& request)
{
    relay_origin origin;
    const auto sender = request.field(relay_field);
    const auto separator = sender.find(relay_separator);
    origin.instance = sender.substr(0, std::min(separator, max_instance_bytes));
    // An instance of an older version does not state the caller.
    if (separator != std::string_view::npos)
        request.caller = sender.substr(separator + 1, max_address_bytes);
    if (const auto sends = net::parse_number(request.field(relay_sends_field)))
        origin.max_sends = static_cast<unsigned>(std::clamp<std::uint64_t>(*sends, 1, max_relayed_sends));
    std::erase_if(request.fields, [](const net::header_field& field) {
        return is_same_field(field.name, relay_field) || is_same_field(field.name, relay_sends_field);
    });
    return origin;
}

} // namespace knapweed::gateway
