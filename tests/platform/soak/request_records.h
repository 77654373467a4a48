#pragma once

#include "core/core.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace knapweed::soak {

/** A request at a server. */
struct server_arrival {
    std::string server;
    std::string service;
    core::milliseconds at{0};
    bool ran = false;                       ///< the server began to run it
    bool stated_leaving = false;            ///< its answer stated that the server leaves
    std::optional<core::milliseconds> rest; ///< for which it was turned away; 0 for a text that states none
};

/** How a request ended for its caller. */
enum class caller_result { pending, answered, closed, timed_out, gave_up, not_sent };

/** One request of a caller, with what caller and servers saw of it. */
struct request_record {
    bool idempotent = false;
    std::string route;
    std::string gateway;
    int incarnation = 0; ///< of the gateway's process when the request was sent
    core::milliseconds sent{0};
    core::milliseconds ended{0};
    caller_result result = caller_result::pending;
    unsigned status = 0;
    std::string reason;                 ///< that an instance stated for an answer of its own
    std::string violation;              ///< what is wrong with the answer itself
    unsigned repeats_on_connection = 0; ///< arrivals at a server on a connection that had carried the request
    std::vector<server_arrival> arrivals;
};

/** All requests of a run by their ids. */
using request_records = std::map<std::string, request_record>;

} // namespace knapweed::soak
