#pragma once

#include "steering/occupancy_estimate.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace knapweed::gateway {

/** Names and formats that callers and backend servers use in HTTP messages. Filled in by an adapter, so that
   the gateway knows none of them. Header names are compared without regard to case. */
struct http_dialect {
    std::string request_id_field;          ///< identifies one attempt of a caller; servers echo it
    std::string time_limit_field;          ///< milliseconds for which the sender waits
    std::string object_cookie;             ///< cookie that names the object of a request
    std::string expected_server_field;     ///< only the server with this id may run the request
    std::string signature_field;           ///< a server's signature of its answer
    std::string not_run_field;             ///< the server did not run the request
    std::string load_field;                ///< load of the server
    std::string remaining_cold_time_field; ///< milliseconds for which the server stays cold
    std::function<std::optional<steering::load_report>(std::string_view)> parse_load;

    std::string readiness_path; ///< asked by the platform
    std::string lookup_path;    ///< asked by callers
    /** Writes the answer to a look-up; its arguments are caller addresses and their time to live. */
    std::function<std::string(const std::vector<std::string>&, core::milliseconds)> write_lookup_answer;
};

} // namespace knapweed::gateway
