#pragma once

#include "steering/request_plan.h"

namespace knapweed::gateway {

/** What the head of an answer says, as far as it decides whether the answer is the server's own. */
struct answer_facts {
    unsigned status = 0;
    bool names_request = false;      ///< it bears a request id
    bool names_this_request = false; ///< and it is that of the request that was sent
    bool has_signature = false;      ///< it bears the server's signature
    bool says_not_run = false;       ///< the server states that it did not run the request
    bool encoded = false;            ///< its body was changed on the way, since none asked for an encoding
};

/** @returns whether the answer belongs to an earlier request on the connection, so that the own one follows.
 */
[[nodiscard]] bool is_for_another_request(const answer_facts& answer);

/** Judges an answer. Only what the server itself signed may be passed on; only its own statement proves that
   it did not run the request. */
[[nodiscard]] steering::attempt_outcome classify_answer(const answer_facts& answer);

/** @returns the HTTP status of a refusal. 503 and 404 promise that the request was not run. */
[[nodiscard]] unsigned status_of(core::refusal_reason reason);

/** @returns the HTTP status for a request whose outcome is unknown. */
[[nodiscard]] unsigned status_of(core::unknown_reason reason);

/** @returns whether a header field concerns one connection only and is not forwarded. @param nominated value
   of the message's Connection field, which may name further ones. */
[[nodiscard]] bool is_hop_by_hop(std::string_view field, std::string_view nominated);

} // namespace knapweed::gateway
