#pragma once

#include "config.pb.h"
#include "decision/crash_guard.h"
#include "decision/node_context.h"
#include "decision/pool.h"
#include "decision/run_outcome.h"

#include <functional>
#include <memory>
#include <set>

namespace knapweed::decision {

/** What `pool_registry` tells the owner of requests that came from this instance itself. */
struct local_request_hooks {
    /** The request leaves for a backend server now. */
    std::function<void(core::exchange_id)> starting;
    /** The attempt has ended; the request is no longer in a pool. */
    std::function<void(core::exchange_id, const run_outcome&)> ended;
};

/** The pools that this instance owns, and the requests in them.

    Driven by its owner: `configure` with each configuration; `tick` at least every 10 ms; `offer` for each
   request; `dispatch_finished` for each dispatch; `probed` for each probe; `hand_over_received` for each such
   message; `leave` when the graceful shutdown begins.

    Requests from other instances are answered here. Requests from this instance are reported through the
   hooks.
*/
class pool_registry {
public:
    /** @param shared and @p guard must outlive this object. */
    pool_registry(node_context& shared, crash_guard& guard, local_request_hooks hooks);

    void configure(const wire::configuration& configuration);
    void tick();

    /** Queues a request.
        @param request with its deadline as a point in time; its `from` names the instance that sent it
        @returns the reason when it is refused; the caller of this function then answers the exchange */
    std::optional<core::refusal_reason> offer(const core::pool_id& pool, const pool_request& request);
    void mark_ready(core::exchange_id exchange);

    /** Ends a request whose caller has gone: it leaves the queue, or its run is cancelled when it is
       idempotent.
        @returns whether the request left the queue without being run. */
    bool withdraw(core::exchange_id exchange);

    /** The instance that sent a request to a pool has closed the exchange. */
    void peer_closed(core::exchange_id exchange);

    /** @returns false when the dispatch is not one of a pool. */
    bool dispatch_finished(core::dispatch_id dispatch, const dispatch_result& result);
    void probed(const server_probed& probe);
    void hand_over_received(const wire::hand_over_pool& counts);

    /** Refuses the queued requests with a quarantined fingerprint. */
    void withdraw_fingerprint(core::fingerprint fingerprint);

    /** Hands all pools over; runs go on. */
    void leave();

    void refresh_windows();
    void add_reports(const core::instance_id& peer, wire::heartbeat& message) const;

    /** @returns the requests that are queued or running here. */
    [[nodiscard]] std::size_t requests() const { return requests_.size(); }
    [[nodiscard]] const std::map<core::pool_id, std::unique_ptr<pool>>& pools() const { return pools_; }

private:
    struct request_entry {
        core::pool_id pool;
        pool_request request;
        std::optional<core::dispatch_id> dispatch;
        bool preempting = false;
        bool ran = false; ///< a run was preempted: "not run" would be false from then on
    };
    void update_ownership();
    void update_pool(pool& target);
    void give_up(pool& target, const core::instance_id& successor);
    void update_peers();
    void probe_servers();
    void serve(pool& target);
    void start(const pool& target, const started_run& run);
    void cancel(core::exchange_id exchange);
    void refuse(const dropped_request& dropped);
    void end(core::exchange_id exchange, const run_outcome& outcome);
    void report_death(const server_death& death);
    [[nodiscard]] bool requeue(core::exchange_id exchange);
    [[nodiscard]] static run_end end_of(dispatch_status status);
    [[nodiscard]] pool* find(const core::pool_id& id);
    [[nodiscard]] bool is_local(const pool_request& request) const;

    node_context& shared_;
    crash_guard& guard_;
    local_request_hooks hooks_;
    wire::configuration configuration_;
    std::map<core::pool_id, std::unique_ptr<pool>> pools_;
    std::unordered_map<core::exchange_id, request_entry> requests_;
    std::unordered_map<core::dispatch_id, core::exchange_id> dispatches_;
    std::set<core::pool_id> disputed_takeovers_; ///< taken over while a candidate was silent
    std::uint64_t generation_ = 0;
    core::time_point next_probe_{};
    bool leaving_ = false;
};

} // namespace knapweed::decision
