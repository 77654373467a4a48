#pragma once

#include "core/core.h"

#include <cstdint>
#include <string>
#include <vector>

namespace knapweed::decision {

/** The headers of a request, validated by the network layer. The body stays in the network layer. */
struct request_meta {
    core::caller_id caller;
    core::service_id service;
    std::string operation; ///< method and path, such as "POST /orders"
    core::rank rank = core::rank::standard;
    core::milliseconds timeout{0}; ///< time left until the caller's deadline, at receipt
    bool idempotent = false;
    std::string ticket; ///< empty when the caller sent none
    std::string key;    ///< idempotency key; empty when the caller sent none
    std::uint64_t body_hash = 0;
    std::uint64_t body_bytes = 0;
};

/** Which kind of sender sent a request, and to which role of this instance. */
enum class hop {
    caller,        ///< from a caller, to any instance
    request_owner, ///< from an instance, to the owner that the ticket names
    pool           ///< from the request's owner, to the pool's owner
};

/** An answer that is stored for retries of the same request. */
struct stored_answer {
    unsigned status = 0;
    std::string content_type;
    std::string body;
};

/** How a relay to another instance or a dispatch to a backend server ended. */
enum class dispatch_status {
    answered,  ///< the whole answer was passed on; see `dispatch_result::answer`
    not_sent,  ///< nothing of the request was written: it was not run
    refused,   ///< a peer or server reported that it did not run the request
    unknown,   ///< a peer reported that the outcome is unknown
    broken,    ///< the request may have been sent, and no answer came that surely belongs to it
    truncated, ///< the answer began but ended before it was complete
    timed_out, ///< no complete answer arrived before the deadline
    cancelled  ///< cancelled by `cancel_dispatch`; the request may have run in part
};

/** The end of a relay or dispatch, and the answer where it is to be kept. */
struct dispatch_result {
    dispatch_status status = dispatch_status::broken;
    core::refusal_reason refusal = core::refusal_reason::overloaded;      ///< with `refused`
    core::unknown_reason unknown = core::unknown_reason::connection_lost; ///< with `unknown`
    std::uint64_t answer_bytes = 0;
    bool kept = false; ///< `answer` holds the whole answer
    stored_answer answer;
};

/** An entry instance in the answer to a look-up. */
struct endpoint {
    core::instance_id instance;
    std::string address;
};

/** The answer to a caller's look-up: the instances to send requests to. */
struct lookup_answer {
    std::vector<endpoint> endpoints; ///< in order of preference
    std::string ticket;              ///< for the caller's next non-idempotent request
    core::milliseconds ttl{0};       ///< how long the answer is valid
    bool degraded = false;           ///< only instances of other regions or suspected instances remain
};

} // namespace knapweed::decision
