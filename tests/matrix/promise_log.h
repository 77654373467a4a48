#pragma once

#include "core/core.h"

#include <cstdio>
#include <map>
#include <set>
#include <string>

namespace knapweed::matrix {

/** Identity of one attempt of a caller's operation, which the fakes pass along with the request. */
struct attempt_tag {
    int operation = 0;
    int attempt = 0;
    bool idempotent = false;
    bool crashes_server = false;     ///< the backend server crashes while it runs the request
    core::milliseconds run_time{40}; ///< on the backend server
    std::string ticket;
};

/** Records the promises of design 1.2 that were broken in a cell, and the runs and refusals that it checks.
 */
class promise_log {
public:
    promise_log(const core::clock& clock, bool verbose) : clock_(clock), verbose_(verbose) {}

    /** Keeps the first detail of each broken promise. */
    void report_violation(const std::string& promise, const std::string& detail)
    {
        trace("VIOLATION " + promise + ": " + detail);
        violations_.emplace(promise, detail);
    }

    /** Prints a line with the simulated time since the start, when verbose. */
    void trace(const std::string& text) const
    {
        if (!verbose_)
            return;
        const auto elapsed_ms =
            std::chrono::duration_cast<core::milliseconds>(clock_.now().time_since_epoch()).count() - 3600000;
        std::printf("%8lld ms  %s\n", static_cast<long long>(elapsed_ms), text.c_str());
    }

    /** Records that a backend server starts a request; checks `at_most_once` and `not_run_is_true`. */
    void run_started(const attempt_tag& tag)
    {
        const int runs = ++runs_by_operation_[tag.operation];
        if (!tag.idempotent && runs > 1)
            report_violation("at_most_once", "operation " + std::to_string(tag.operation) + " runs again");
        ++runs_by_attempt_[attempt_key(tag)];
        if (refused_attempts_.contains(attempt_key(tag)))
            report_violation("not_run_is_true",
                             "operation " + std::to_string(tag.operation) + " runs after a refusal");
    }

    /** Records that a caller receives a refusal, which says the request was not run; checks
     * `not_run_is_true`. */
    void refusal_received(const attempt_tag& tag, const std::string& reason)
    {
        refused_attempts_.insert(attempt_key(tag));
        if (runs_by_attempt_.contains(attempt_key(tag)))
            report_violation("not_run_is_true", "operation " + std::to_string(tag.operation) +
                                                    " ran and was refused: " + reason);
    }

    /** @returns the first detail by promise. */
    [[nodiscard]] const std::map<std::string, std::string>& violations() const { return violations_; }

private:
    /** A refusal covers all attempts under the ticket of a non-idempotent request, but only one attempt of an
        idempotent one. */
    static std::string attempt_key(const attempt_tag& tag)
    {
        return std::to_string(tag.operation) + "/" +
               (tag.idempotent ? std::to_string(tag.attempt) : tag.ticket);
    }

    const core::clock& clock_;
    bool verbose_;
    std::map<std::string, std::string> violations_; ///< first detail by promise
    std::map<int, int> runs_by_operation_;
    std::map<std::string, int> runs_by_attempt_;
    std::set<std::string> refused_attempts_;
};

} // namespace knapweed::matrix
