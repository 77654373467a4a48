#pragma once

#include "core/core.h"

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace knapweed::decision {

/** Steps of a request that operators can query. */
enum class trace_step {
    received,
    relayed_to_owner,
    intent_sent,
    intent_recorded,
    pool_chosen,
    queued,
    dispatched,
    retried,
    answered,
    refused,
    unknown,
    sealed
};

/** Records the latest decisions about requests, so that operators can find out why a request was handled as
    it was.

    The number of requests is bounded: the oldest request is dropped.
*/
class decision_trace {
public:
    struct entry {
        core::time_point at;
        trace_step step = trace_step::received;
        std::string detail; ///< the measurement or reason behind the step
    };

    /** @param time must outlive this object.
        @param capacity number of requests whose steps are kept */
    decision_trace(const core::clock& time, std::size_t capacity) : time_(time), capacity_(capacity) {}

    /** Adds a step. Only the first `max_steps` steps of a request are kept.
        @param request caller and idempotency key, separated by '/' */
    void add(const std::string& request, trace_step step, std::string detail);

    /** @returns the steps of a request in order; empty when none are kept. */
    [[nodiscard]] std::vector<entry> steps(const std::string& request) const;

    static constexpr std::size_t max_steps = 16;

private:
    const core::clock& time_;
    std::size_t capacity_;
    std::deque<std::string> order_; ///< oldest first
    std::unordered_map<std::string, std::vector<entry>> steps_;
};

} // namespace knapweed::decision

template <>
struct knapweed::core::names_of<knapweed::decision::trace_step> {
    static constexpr std::array<std::string_view, 12> table{
        "received",   "relayed_to_owner", "intent_sent", "intent_recorded", "pool_chosen", "queued",
        "dispatched", "retried",          "answered",    "refused",         "unknown",     "sealed"};
};
