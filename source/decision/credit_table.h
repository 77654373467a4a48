#pragma once

#include "core/core.h"
#include "peer.pb.h"

#include <map>
#include <optional>

namespace knapweed::decision {

/** Credit that pool owners have granted to this instance, and its requests outstanding at their pools.

    Credit-based flow control: a request may be forwarded to a remote pool only while fewer requests of its
   rank are outstanding there than the pool's last report allows. A report expires after `report_lifetime`;
   then the window is one request for a pool in this instance's region and zero elsewhere, so that an
   unreachable pool is sent almost no requests.

    @see wire::pool_report
*/
class credit_table {
public:
    static constexpr core::milliseconds report_lifetime{2000};

    /** @param time must outlive this object. */
    explicit credit_table(const core::clock& time) : time_(time) {}

    /** Stores a report with the window that a pool owner granted to this instance. */
    void report(const wire::pool_report& received);

    /** @returns the number of requests of that rank that may be sent now.
        @param same_region whether the pool is in the region of this instance */
    [[nodiscard]] std::uint32_t available(const core::pool_id& pool, core::rank rank, bool same_region) const;

    /** Counts a request as outstanding at a pool. */
    void sent(const core::pool_id& pool, core::rank rank);
    /** Ends the count of a request that was passed to `sent`. */
    void returned(const core::pool_id& pool, core::rank rank);

    /** @returns the last report of a pool, or nullptr when none is younger than `report_lifetime`. */
    [[nodiscard]] const wire::pool_report* fresh_report(const core::pool_id& pool) const;

    /** @returns the time since the last report of a pool, or nothing when there was none. */
    [[nodiscard]] std::optional<core::duration> report_age(const core::pool_id& pool) const;

private:
    struct entry {
        wire::pool_report last;
        core::time_point received;
        bool reported = false;
        core::per_rank<std::uint32_t> outstanding{};
    };

    [[nodiscard]] bool is_fresh(const entry& candidate) const;

    const core::clock& time_;
    std::map<core::pool_id, entry> entries_;
};

} // namespace knapweed::decision
