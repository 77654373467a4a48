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

/** Callbacks of `pool_registry` for requests that this instance received from callers itself. */
struct local_request_hooks {
    /** Called before the request is dispatched to a backend server. */
    std::function<void(core::exchange_id)> starting;
    /** Called when the attempt has ended and the request is no longer in a pool. */
    std::function<void(core::exchange_id, const run_outcome&)> ended;
};

/** One `pool` for each configured service and data centre, and the requests in the pools that this instance
   owns.

    Call `configure` with each configuration, `tick` at least every 10 ms, `offer` for each request,
   `dispatch_finished` for each dispatch, `probed` for each probe, `hand_over_received` for each hand-over
   message, and `leave` when the graceful shutdown begins.

    Requests that other instances sent are answered here. Requests that this instance received from callers
   are reported through the hooks.
*/
class pool_registry {
public:
    /** @param shared and @p guard must outlive this object. */
    pool_registry(node_context& shared, crash_guard& guard, local_request_hooks hooks);

    /** Creates and updates the pools. A pool that is no longer configured loses its servers. */
    void configure(const wire::configuration& configuration);
    /** Updates the ownership of the pools, probes their servers when that is due, and schedules runs. */
    void tick();

    /** Queues a request.
        @param request its `from` is the instance that sent it
        @returns the reason when it is refused; the caller of this function then answers the exchange */
    std::optional<core::refusal_reason> offer(const core::pool_id& pool, const pool_request& request);
    /** Allows a queued request to start, once its intent is acknowledged. */
    void mark_ready(core::exchange_id exchange);

    /** Ends a request whose caller has disconnected: removes it from the queue, or cancels its run if it is
       idempotent.
        @returns whether the request left the queue without being run. */
    bool withdraw(core::exchange_id exchange);

    /** Withdraws a request because the instance that sent it has closed the exchange. */
    void peer_closed(core::exchange_id exchange);

    /** Ends the run of a dispatch.
        @returns false when the dispatch does not belong to a pool. */
    bool dispatch_finished(core::dispatch_id dispatch, const dispatch_result& result);
    /** Updates the state of a backend server from a probe. */
    void probed(const server_probed& probe);
    /** Becomes the owner of a pool; ignored while this instance shuts down. */
    void hand_over_received(const wire::hand_over_pool& counts);

    /** Refuses the queued requests with a quarantined fingerprint. */
    void withdraw_fingerprint(core::fingerprint fingerprint);

    /** Hands all pools over to other instances; runs in progress continue. */
    void leave();

    /** Recomputes the credit windows of all pools; call it once per heartbeat. */
    void refresh_windows();
    /** Adds a report of each owned pool to a heartbeat for the peer. */
    void add_reports(const core::instance_id& peer, wire::heartbeat& message) const;

    /** @returns the requests that are queued or running here. */
    [[nodiscard]] std::size_t requests() const { return requests_.size(); }
    [[nodiscard]] const std::map<core::pool_id, std::unique_ptr<pool>>& pools() const { return pools_; }

private:
    struct request_entry {
        core::pool_id pool;
        pool_request request;
        std::optional<core::dispatch_id> dispatch;
        bool preempting = false;    ///< its run was cancelled for preemption; the end was not reported yet
        bool was_preempted = false; ///< part of it may have run, so it must not be answered as not run
    };
    void update_ownership();
    void update_pool_ownership(pool& target);
    void release_ownership(pool& target, const core::instance_id& successor);
    void update_peers();
    void probe_servers();
    void run_schedule(pool& target);
    void start(const pool& target, const started_run& run);
    void cancel(core::exchange_id exchange);
    void refuse(const dropped_request& dropped);
    void end(core::exchange_id exchange, const run_outcome& outcome);
    void report_death(const server_death& death);
    [[nodiscard]] bool requeue(core::exchange_id exchange);
    [[nodiscard]] static run_end run_end_of(dispatch_status status);
    [[nodiscard]] pool* find(const core::pool_id& id);
    [[nodiscard]] bool is_local(const pool_request& request) const;

    node_context& shared_;
    crash_guard& guard_;
    local_request_hooks hooks_;
    wire::configuration configuration_;
    std::map<core::pool_id, std::unique_ptr<pool>> pools_;
    std::unordered_map<core::exchange_id, request_entry> requests_;
    std::unordered_map<core::dispatch_id, core::exchange_id> dispatches_;
    /** Pools taken over while another instance may have been their owner. */
    std::set<core::pool_id> disputed_takeovers_;
    std::uint64_t generation_ = 0;
    core::time_point next_probe_{};
    bool leaving_ = false;
};

} // namespace knapweed::decision
