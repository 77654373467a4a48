#pragma once

#include "decision/request.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace knapweed::net {

/** Returns the value of the header field with the given name, empty when absent. */
using field_lookup = std::function<std::string_view(std::string_view)>;

/** Why a request is refused before it is sent to the decision thread. */
struct head_failure {
    core::refusal_reason reason = core::refusal_reason::malformed_request;
    std::string detail;
};

/** The validated head of a request to `/v1/services/S/PATH`. The hash and size of the body in `meta` are set
    after the body was read.
*/
struct service_request_head {
    decision::request_meta meta;
    decision::hop from = decision::hop::caller;
    core::instance_id sender;                         ///< set unless `from` is `hop::caller`
    core::data_centre_id pool_data_centre;            ///< set if `from` is `hop::pool`
    std::string backend_target;                       ///< path and query for the backend server
    std::optional<std::uint64_t> announced_body_hash; ///< value of Knapweed-Body-Hash, if sent
};

using parsed_head = std::variant<service_request_head, head_failure>;

/** Parses and validates the head of a request to a service.
    @param method one of GET, POST, PUT, DELETE; others are refused. @param target path and query. */
[[nodiscard]] parsed_head parse_service_request(std::string_view method, std::string_view target,
                                                const field_lookup& field);

/** The validated head of a request to `/v1/lookup?service=S`. */
struct lookup_head {
    core::caller_id caller;
    core::service_id service;
};

/** Parses and validates the head of a look-up. @param target path and query. */
[[nodiscard]] std::variant<lookup_head, head_failure> parse_lookup(std::string_view target,
                                                                   const field_lookup& field);

/** @returns the HTTP status of a refusal. */
[[nodiscard]] unsigned status_of(core::refusal_reason reason);

} // namespace knapweed::net

namespace knapweed::core {

template <>
struct names_of<decision::hop> {
    static constexpr std::array<std::string_view, 3> table{"caller", "request_owner", "pool"};
};

} // namespace knapweed::core
