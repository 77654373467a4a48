#pragma once

#include "core/core.h"

#include <cstdint>
#include <map>
#include <vector>

namespace knapweed::decision {

/** An instance that may send requests to a pool. */
struct credit_peer {
    core::instance_id instance;
    bool same_region = false; ///< in the region of the pool; its window is at least one request
};

/** Credit-based flow control: how many requests each peer may have outstanding at a pool, by rank.

    The windows of a rank sum to at most the queue capacity. Each peer in the region of the pool gets one
   place; the other places are divided in proportion to recent demand.
*/
class credit_windows {
public:
    /** Replaces the list of peers. Accounts of other instances are kept while they have requests outstanding.
     */
    void set_peers(const std::vector<credit_peer>& peers);

    /** Recomputes the windows and halves the recorded demand; call it once per heartbeat. */
    void refresh(const core::per_rank<std::uint32_t>& capacity);

    /** @returns whether the peer may have one more request outstanding; false for instances
       that are not peers. */
    [[nodiscard]] bool admits(const core::instance_id& peer, core::rank rank) const;

    /** Counts an offered request as demand, whether or not it is admitted. */
    void record_demand(const core::instance_id& peer, core::rank rank);
    /** Counts a request as outstanding. */
    void reserve(const core::instance_id& peer, core::rank rank);
    /** Ends the count of a request that was passed to `reserve`. */
    void release(const core::instance_id& peer, core::rank rank);

    /** @returns the peer's window as of the last refresh, in requests. */
    [[nodiscard]] std::uint32_t window(const core::instance_id& peer, core::rank rank) const;

private:
    struct peer_account {
        bool same_region = false;
        bool is_peer = false; ///< in the latest list of peers
        core::per_rank<std::uint32_t> outstanding{};
        core::per_rank<std::uint32_t> window{};
        core::per_rank<std::uint32_t> previous_window{};
        core::per_rank<double> demand{};
    };

    void divide(std::size_t rank, std::uint32_t capacity);

    std::map<core::instance_id, peer_account> accounts_;
};

} // namespace knapweed::decision
