#pragma once

#include "stand_ins/http/http_messages.h"

namespace knapweed::stand_ins {

/** Result of checking one answer. */
enum class answer_kind {
    done,
    refused,
    unknown,
    malformed, ///< without a valid outcome, reason or matching body as docs/interfaces.md defines them
    truncated, ///< correctly framed, but the body lacks bytes or does not match its checksum
    crossed    ///< answer to another request
};

/** Kind of an answer and its reason. */
struct answer_verdict {
    answer_kind kind = answer_kind::malformed;
    std::string reason; ///< of a refused, unknown or malformed answer; for a done one, its HTTP status when
                        ///< that is 400 or more
};

/** Checks the answer of an entry instance to the request that has the given idempotency key. */
[[nodiscard]] answer_verdict check_entry_answer(const http_response& response, std::string_view key);

/** Checks the answer of a backend server to the request that has the given idempotency key. */
[[nodiscard]] answer_verdict check_backend_answer(const http_response& response, std::string_view key);

} // namespace knapweed::stand_ins
