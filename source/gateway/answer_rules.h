#pragma once

#include "steering/request_plan.h"

#include <boost/system/error_code.hpp>

namespace knapweed::gateway {

/** Properties of an answer's head that decide whether the answer is genuine and belongs to the request. */
struct answer_facts {
    unsigned status = 0;
    bool has_request_id = false;  ///< it contains a request id
    bool matches_request = false; ///< its request id is that of the request that was sent
    bool has_signature = false;   ///< it contains the server's signature
    bool marked_not_run = false;  ///< the server states that it did not run the request
    bool encoded = false; ///< it has a Content-Encoding, so an intermediary changed the body: requests ask
                          ///< for no encoding
    bool may_be_late = false;   ///< other requests or answers came before on the connection
    bool states_reason = false; ///< an instance generated it, and states the reason
};

/** @returns whether the answer belongs to an earlier request on the connection, so that the answer to the
   current request may still follow. */
[[nodiscard]] bool is_for_another_request(const answer_facts& answer);

/** Classifies an answer. Only an answer with the server's signature may be passed on to the caller; only a
   server's not-run field without a signature proves that the server did not run the request. Without a
   request id, such an answer proves it only as the first one on a new connection, where it can't belong to
   another request. */
[[nodiscard]] steering::attempt_outcome classify_answer(const answer_facts& answer);

/** Classifies an answer of another instance to a relayed request: `answered`, `refused` or `unknown`. Only a
   server's signed answer may be passed on to the caller; only an answer that the other instance itself
   generated, with a status that it uses for requests that were not run, is a refusal. */
[[nodiscard]] steering::relay_outcome classify_relayed_answer(const answer_facts& answer);

/** @returns the HTTP status of a refusal: 503, 429, 404 or 401, which guarantee that the request was not run.
 */
[[nodiscard]] unsigned status_of(core::refusal_reason reason);

/** @returns the HTTP status for a request whose outcome is unknown. */
[[nodiscard]] unsigned status_of(core::unknown_reason reason);

/** @param limit_expired the connection was closed because its time limit had passed. */
[[nodiscard]] steering::connect_failure classify_connect_error(const boost::system::error_code& error,
                                                               bool limit_expired);

/** @returns whether a header field applies to a single connection and must not be forwarded.
    @param connection_options value of the message's Connection field, which may list more such fields. */
[[nodiscard]] bool is_hop_by_hop(std::string_view field, std::string_view connection_options);

} // namespace knapweed::gateway
