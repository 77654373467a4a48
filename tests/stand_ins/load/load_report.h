#pragma once

#include "core/clock.h"
#include "core/rank.h"

#include <nlohmann/json.hpp>

#include <iosfwd>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace knapweed::stand_ins {

/** Counts of the final outcomes of the requests of one rank. */
struct rank_report {
    std::uint64_t sent = 0;
    std::uint64_t done = 0;
    std::map<std::string, std::uint64_t> done_with_error; ///< by the server's HTTP status, 400 or more
    std::map<std::string, std::uint64_t> refused;         ///< by reason
    std::map<std::string, std::uint64_t> unknown;         ///< by reason
    std::map<std::string, std::uint64_t> malformed;       ///< by the part that is malformed
    std::uint64_t truncated = 0; ///< correctly framed, but bytes are missing or the checksum differs
    std::uint64_t crossed = 0;   ///< answers to another request
    /** Connections closed without an outcome; such a request is sent to the next endpoint. */
    std::uint64_t cut_off = 0;
    /** Answers shorter than their framing announced; such a request counts as unknown. */
    std::uint64_t broken_off = 0;
    std::uint64_t resent = 0;              ///< under a new key after a refusal
    std::vector<core::duration> latencies; ///< of done requests
};

/** Sums of the statistics and run ledgers of the backend servers. */
struct backend_report {
    std::uint64_t ledgers = 0;     ///< distinct ledgers, one for each server process
    std::uint64_t unreachable = 0; ///< servers that did not answer
    std::uint64_t runs = 0;
    std::uint64_t shed = 0; ///< requests refused because all slots were in use
    std::uint64_t cancelled = 0;
    std::uint64_t doubled = 0;         ///< non-idempotent keys that ran more than once, over all ledgers
    std::uint64_t not_run_but_ran = 0; ///< keys that were reported as not run although they ran
};

/** Results of one execution of the load tool. */
class load_report {
public:
    core::per_rank<rank_report> ranks;
    backend_report backends;
    std::set<std::string> refused_keys; ///< keys of requests that were reported as not run

    /** @returns whether no answer was truncated, crossed, malformed, cut off or broken off, no
        non-idempotent request ran twice, no refused request ran, and no backend server was unreachable.

        @param allow_cut_off accepts connections without an outcome and answers that broke off, for tests
        that kill processes.
    */
    [[nodiscard]] bool passed(bool allow_cut_off) const;

    void print_table(std::ostream& stream) const;
    [[nodiscard]] nlohmann::json to_json() const;

private:
    void print_totals(std::ostream& stream) const;
};

/** @returns the latency in ms that the given share (0 to 1) of requests does not exceed, by the nearest-rank
    method; 0 when there are no latencies. */
[[nodiscard]] double percentile_ms(std::vector<core::duration> latencies, double share);

} // namespace knapweed::stand_ins
