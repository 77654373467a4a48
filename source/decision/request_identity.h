#pragma once

#include "core/core.h"
#include "peer.pb.h"

#include <optional>
#include <string>

namespace knapweed::decision {

inline constexpr std::size_t max_caller_bytes = 64;
inline constexpr std::size_t max_key_bytes = 128;

/** Identifies a request: exchanges with equal identities are attempts of the same request. */
struct request_identity {
    core::caller_id caller;
    std::string ticket; ///< encoded text of the ticket, of which each ticket has exactly one
    std::string key;    ///< the caller's idempotency key

    bool operator==(const request_identity&) const = default;
};

struct request_identity_hash {
    std::size_t operator()(const request_identity& id) const
    {
        return core::hash_parts({id.caller.str(), id.ticket, id.key});
    }
};

/** Hash of the identity that a pointer refers to, for an index of identities that are stored elsewhere. */
struct pointed_identity_hash {
    std::size_t operator()(const request_identity* id) const { return request_identity_hash{}(*id); }
};
/** Equality of the identities that two pointers refer to. */
struct pointed_identity_equal {
    bool operator()(const request_identity* a, const request_identity* b) const { return *a == *b; }
};

[[nodiscard]] wire::request_key to_wire(const request_identity& id);

/** @returns the identity, or nothing when a field is empty or longer than any instance writes. */
[[nodiscard]] std::optional<request_identity> from_wire(const wire::request_key& key);

/** Identifies a request and its body, as seals and their replies do.

    The answer kept for a request must not reach a request that reuses its key with another body, so a seal
    and its reply carry the body hash.
*/
struct sealed_request {
    request_identity id;
    std::uint64_t body_hash = 0;

    bool operator==(const sealed_request&) const = default;
};

struct sealed_request_hash {
    std::size_t operator()(const sealed_request& request) const
    {
        return request_identity_hash{}(request.id) ^ request.body_hash;
    }
};

/** @returns the sealed request, or nothing when a field of the key is empty or too long. */
[[nodiscard]] std::optional<sealed_request> sealed_from_wire(const wire::request_key& key,
                                                             std::uint64_t body_hash);

} // namespace knapweed::decision
