#include "gateway/relay_origin.h"

#include "gateway/field_names.h"
#include "gateway/relay_fields.h"
#include "net/parse_number.h"

#include <algorithm>

namespace knapweed::gateway {

namespace {

constexpr std::size_t max_instance_bytes = 128;
constexpr std::uint64_t max_relayed_sends = 8;

} // namespace

relay_origin take_relay_origin(caller_request& request)
{
    relay_origin origin;
    origin.instance = request.field(relay_field).substr(0, max_instance_bytes);
    if (const auto sends = net::parse_number(request.field(relay_sends_field)))
        origin.max_sends = static_cast<unsigned>(std::clamp<std::uint64_t>(*sends, 1, max_relayed_sends));
    std::erase_if(request.fields, [](const net::header_field& field) {
        return is_same_field(field.name, relay_field) || is_same_field(field.name, relay_sends_field);
    });
    return origin;
}

} // namespace knapweed::gateway
