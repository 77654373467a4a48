#pragma once

#include "decision/request.h"

#include <string>

namespace knapweed::decision {

/** How an attempt to run a request ended, as reported to the owner of the request. */
struct run_outcome {
    enum class kind {
        done,    ///< the whole answer was passed on
        not_run, ///< certainly not run; `refusal` and `retry` hold the reason
        lost     ///< may have run; `unknown` and `retry` hold the reason
    };

    kind result = kind::lost;
    core::refusal_reason refusal = core::refusal_reason::overloaded;
    core::unknown_reason unknown = core::unknown_reason::connection_lost;
    core::retry_reason retry = core::retry_reason::pool_refused;
    bool answer_began = false; ///< the caller got part of the answer, so no other attempt can answer it
    dispatch_result dispatch;
};

/** @returns the outcome of an attempt that ended with this result of a relay to another instance. */
[[nodiscard]] run_outcome outcome_of_relay(const dispatch_result& result);

/** @returns the outcome of an attempt that ended with this result of a dispatch to a backend server. */
[[nodiscard]] run_outcome outcome_of_run(const dispatch_result& result);

} // namespace knapweed::decision
