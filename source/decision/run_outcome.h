#pragma once

#include "decision/request.h"

#include <string>

namespace knapweed::decision {

/** How an attempt to run a request ended, for the request's owner. */
struct run_outcome {
    enum class kind {
        done,    ///< the whole answer was passed on
        not_run, ///< provably not run; `refusal` and `retry` say why
        lost     ///< may have run; `unknown` and `retry` say why
    };

    kind result = kind::lost;
    core::refusal_reason refusal = core::refusal_reason::overloaded;
    core::unknown_reason unknown = core::unknown_reason::connection_lost;
    core::retry_reason retry = core::retry_reason::pool_refused;
    bool answer_began = false; ///< part of the answer reached the caller: no other attempt can answer it
    dispatch_result dispatch;
};

/** @returns what the end of a relay to another instance means. */
[[nodiscard]] run_outcome outcome_of_relay(const dispatch_result& result);

/** @returns what the end of a dispatch to a backend server means. */
[[nodiscard]] run_outcome outcome_of_run(const dispatch_result& result);

} // namespace knapweed::decision
