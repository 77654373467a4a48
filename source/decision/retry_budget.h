#pragma once

#include "core/core.h"

#include <list>
#include <unordered_map>

namespace knapweed::decision {

/** Limits of `retry_budget`. */
struct retry_budget_options {
    unsigned tenths_per_request = 1; ///< tenths of a token that each request adds
    unsigned burst = 10;             ///< tokens in a full bucket
    /** Limit of stored buckets, for callers and for services each. When it is reached, a caller or service
       without a stored bucket gets no retry. */
    std::size_t buckets = 10000;
    /** After this time without a request or retry, a bucket counts as full and is removed, so that callers
       that have stopped sending free their place. */
    core::milliseconds forget_after{600000};
};

/** Limits retries to a share of the requests, for each caller and each service.

    Call `request_received` once for each request of a caller, and `take` before each retry. A bucket that
    is full is not stored: an absent bucket counts as full.
*/
class retry_budget {
public:
    /** @param time must outlive this object. */
    retry_budget(retry_budget_options options, const core::clock& time);

    /** Adds a part of a token to the bucket of the caller and that of the service. */
    void request_received(const core::caller_id& caller, const core::service_id& service);

    /** Takes one token from both buckets, or none.
        @returns whether the retry is allowed. */
    [[nodiscard]] bool take(const core::caller_id& caller, const core::service_id& service);

    /** Sets the number of tokens in a full bucket. */
    void set_burst(unsigned tokens) { options_.burst = tokens; }

    /** @returns the number of stored buckets, of callers and services together. */
    [[nodiscard]] std::size_t size() const noexcept { return callers_.used.size() + services_.used.size(); }

private:
    struct bucket {
        std::string name;
        unsigned tenths = 0;
        core::time_point last_used;
    };
    /** Buckets that are not full, least recently used first. */
    struct bucket_table {
        std::list<bucket> used;
        std::unordered_map<std::string, std::list<bucket>::iterator> by_name;
    };

    [[nodiscard]] unsigned capacity_tenths() const noexcept;
    void add(bucket_table& table, const std::string& name) const;
    [[nodiscard]] bool has_token(bucket_table& table, const std::string& name) const;
    void remove_token(bucket_table& table, const std::string& name) const;
    void remove_idle(bucket_table& table) const;

    retry_budget_options options_;
    const core::clock& time_;
    bucket_table callers_;
    bucket_table services_;
};

} // namespace knapweed::decision
