#include "decision/request_identity.h"

#include "decision/ticket.h"

namespace knapweed::decision {

wire::request_key to_wire(const request_identity& id)
{
    wire::request_key key;
    key.set_caller(id.caller.str());
    key.set_ticket(id.ticket);
    key.set_key(id.key);
    return key;
}

std::optional<request_identity> from_wire(const wire::request_key& key)
{
    if (key.caller().empty() || key.caller().size() > max_caller_bytes || key.key().empty() ||
        key.key().size() > max_key_bytes || key.ticket().empty() ||
        key.ticket().size() > max_ticket_text_bytes)
        return std::nullopt;
    return request_identity{core::caller_id{key.caller()}, key.ticket(), key.key()};
}

std::optional<sealed_request> sealed_from_wire(const wire::request_key& key, std::uint64_t body_hash)
{
    auto id = from_wire(key);
    if (!id)
        return std::nullopt;
    return sealed_request{std::move(*id), body_hash};
}

} // namespace knapweed::decision
