#pragma once

#include "steering/occupancy_estimate.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace knapweed::gateway {

/** Names and formats that callers and backend servers use in HTTP messages. The adapter to a platform
   provides them, so that the gateway does not depend on a platform. Header names are compared without regard
   to case. */
struct http_dialect {
    std::string request_id_field;          ///< header: id of one attempt of a caller; servers echo it
    std::string time_limit_field;          ///< header: milliseconds for which the sender waits for the answer
    std::string object_cookie;             ///< cookie: the object that a request accesses
    std::string expected_server_field;     ///< header: id of the only server that may run the request
    std::string signature_field;           ///< header: a server's signature of its answer
    std::string not_run_field;             ///< header: present when the server did not run the request
    std::string load_field;                ///< header: load of the server, decoded by `parse_load`
    std::string request_limit_field;       ///< header: limit of the server, decoded by `parse_request_limit`
    std::string remaining_cold_time_field; ///< header: milliseconds for which the server stays cold
    std::string api_key_field;             ///< header: key of the caller's account; never passed to a server
    std::string account_field;             ///< header: name of the caller's account, for the server
    std::string leaving_field;             ///< header: whether the server leaves, decoded by `parse_leaving`
    /** Decodes the value of the load field; returns nothing when it is malformed. */
    std::function<std::optional<steering::load_report>(std::string_view)> parse_load;

    /** Decodes the requests per second that the server accepts from all instances together; returns nothing
        when the value is malformed. */
    std::function<std::optional<double>(std::string_view)> parse_request_limit;

    /** Decodes whether the server has begun to leave. */
    std::function<bool(std::string_view)> parse_leaving;

    std::string readiness_path; ///< requested by the platform to check whether the instance is ready
    std::string lookup_path;    ///< requested by callers to look up the addresses of instances
    /** Formats the body of the answer to a look-up; its arguments are the addresses for callers and their
       time to live. */
    std::function<std::string(const std::vector<std::string>&, core::milliseconds)> write_lookup_answer;
};

} // namespace knapweed::gateway
