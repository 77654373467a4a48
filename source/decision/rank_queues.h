#pragma once

#include "decision/pool_request.h"

#include <cstddef>
#include <functional>
#include <set>
#include <unordered_map>
#include <utility>

namespace knapweed::decision {

/** One queue per rank, ordered by deadline, then by exchange.

    A request that is not ready counts as queued but can't be popped.
*/
class rank_queues {
public:
    /** Adds a request; its exchange must not be queued yet. */
    void push(const pool_request& request);

    /** Allows a request to be popped.
        @returns false when the exchange is not queued. */
    bool mark_ready(core::exchange_id exchange);

    /** Removes a request. @returns nothing when the exchange is not queued. */
    std::optional<pool_request> withdraw(core::exchange_id exchange);

    /** Removes every request for which @p matches returns true. */
    std::vector<pool_request> withdraw_if(const std::function<bool(const pool_request&)>& matches);

    /** Removes the requests whose deadline has been reached. */
    std::vector<pool_request> expire(core::time_point now);

    [[nodiscard]] bool contains(core::exchange_id exchange) const { return requests_.contains(exchange); }
    [[nodiscard]] bool has_ready(core::rank rank) const { return !ready_[core::index_of(rank)].empty(); }

    /** @returns the ready request of a rank with the earliest deadline; there must be one. */
    [[nodiscard]] const pool_request& front(core::rank rank) const;
    /** Removes and returns the ready request of a rank with the earliest deadline; there must be one. */
    pool_request pop(core::rank rank);

    /** @returns the ready requests of a rank. */
    [[nodiscard]] std::size_t ready_count(core::rank rank) const
    {
        return ready_[core::index_of(rank)].size();
    }
    /** @returns the requests of a rank, ready or not. */
    [[nodiscard]] std::size_t size(core::rank rank) const;
    [[nodiscard]] std::size_t size() const { return requests_.size(); }

    /** @returns the requests of a rank, ready or not, with an earlier deadline. */
    [[nodiscard]] std::size_t ahead_of(core::rank rank, core::time_point deadline) const;

private:
    /** Exchanges in the order of their deadlines. */
    using deadline_queue = std::set<std::pair<core::time_point, core::exchange_id>>;

    deadline_queue& queue_of(const pool_request& request);

    std::unordered_map<core::exchange_id, pool_request> requests_;
    core::per_rank<deadline_queue> ready_;
    core::per_rank<deadline_queue> not_ready_;
};

} // namespace knapweed::decision
