#pragma once

#include "decision/credit_windows.h"
#include "decision/pool_request.h"
#include "decision/pool_settings.h"
#include "decision/rank_queues.h"
#include "decision/run_estimate.h"
#include "decision/server_set.h"
#include "decision/slot_time.h"
#include "decision/wait_estimate.h"

#include <functional>
#include <unordered_map>

namespace knapweed::decision {

/** Schedules the requests of one service onto its backend servers in one data centre.

    Keeps the server slots and a queue per rank. One entry instance owns a pool; after a partition several
   may, until the dispute ends.

    How `pool_registry` uses it:

    1. Becoming the owner: construct, `apply` the configuration, then `take_over`, or `accept` when the
   previous owner handed over. `set_peers` names every instance that may send requests, this one included.
    2. A request arrives: `offer`. If it is not refused, it is queued and may start with the next `schedule`.
   When the witness acknowledges the intent of a request that was not ready: `mark_ready`.
    3. After every event that can free a slot or queue a request, and on every tick: `schedule` (refuse each
   dropped request, dispatch each started run), then `preempt` and `overdue` (cancel the dispatches of the
   returned exchanges).
    4. A dispatch ends: `finish`, once per started run; if the result contains a server death, pass it to
   `crash_guard`. A preempted request ends as cancelled and may be offered again.
    5. The caller has disconnected: `withdraw`; if that returns false, the request is running and its dispatch
   should be cancelled. A fingerprint is quarantined: `withdraw_fingerprint`, and refuse the returned
   exchanges.
    6. A probe ends: `observe`. The platform's list starts or stops showing a server as leaving:
   `set_leaving`.
    7. Per heartbeat: `refresh_windows` once, then `report_for` each peer.
    8. Another instance becomes the owner: send it the result of `hand_over` and refuse the exchanges of
   `withdraw_all`. Runs continue until `finish`; no new run starts here until `take_over` or `accept`.
*/
class pool {
public:
    /** @param time must outlive this object.
        @param is_suspect returns whether requests with a fingerprint must run alone on a server, because they
        may crash it; may be empty. @see crash_guard */
    pool(core::pool_id id, const core::clock& time,
         std::function<bool(core::fingerprint)> is_suspect = nullptr);

    /** Applies the configuration; runs on removed servers continue. */
    void apply(const pool_settings& settings);

    /** Becomes the owner without data from the previous owner: slots that it does not
        use itself count as occupied at first.
        @see server_set::take_over */
    void take_over();
    /** Becomes the owner with the occupied slots that the previous owner reported. */
    void accept(const wire::hand_over_pool& counts);
    /** Stops being the owner. @returns the occupied slots, for the new owner. */
    wire::hand_over_pool hand_over();
    [[nodiscard]] bool owned() const { return owned_; }

    /** Limits this instance to its share of the slots while several instances may be the owner.
        @see server_set::dispute */
    void dispute(std::uint32_t candidates, bool present_owner)
    {
        servers_.dispute(candidates, present_owner);
    }
    /** Ends the limit of `dispute`; the slots of the other owners count as occupied at first. */
    void end_dispute() { servers_.end_dispute(time_.now()); }
    [[nodiscard]] bool disputed() const { return servers_.disputed(); }

    /** Queues a request.
        @returns the reason when it is refused; it is then not queued and this offer never runs. */
    std::optional<core::refusal_reason> offer(const pool_request& request);
    /** Allows a queued request to start, once its intent is acknowledged.
        @returns false when the exchange is not queued. */
    bool mark_ready(core::exchange_id exchange);
    /** Removes a queued request. @returns false when the exchange is not queued. */
    bool withdraw(core::exchange_id exchange);
    /** Removes the queued requests with a quarantined fingerprint. */
    std::vector<dropped_request> withdraw_fingerprint(core::fingerprint fingerprint);
    /** Removes all queued requests. */
    std::vector<dropped_request> withdraw_all(core::refusal_reason reason);

    /** Drops the queued requests that can no longer meet their deadline, and starts what can start now. */
    schedule_result schedule();
    /** Ends a run and frees its slot, unless the server may still be working on it.
        @returns nothing when the exchange does not run. */
    std::optional<finished_run> finish(core::exchange_id exchange, run_end end);

    /** @returns bulk runs to cancel so that urgent requests start sooner. @see preemption_settings */
    std::vector<core::exchange_id> preempt();
    /** @returns runs that exceed the longest run time; their slots stay occupied until `finish`. */
    [[nodiscard]] std::vector<core::exchange_id> overdue() const { return servers_.overdue(time_.now()); }

    /** Updates a server's state from a probe; ignores unknown servers. */
    void observe(const server_probed& probe);
    /** Sets whether the platform lists a server as leaving; such a server gets no new runs. */
    void set_leaving(const core::server_id& server, bool leaving);

    /** Sets the instances that may send requests to this pool, this instance included. */
    void set_peers(const std::vector<credit_peer>& peers);
    /** Recomputes how many requests each peer may have outstanding. @see credit_windows */
    void refresh_windows();
    /** @returns the pool's load and the peer's credit windows, for the next heartbeat to the peer. */
    [[nodiscard]] wire::pool_report report_for(const core::instance_id& peer) const;

    /** @returns the estimated time in the queue of a request that arrives now.
        @param deadline requests of the same rank with an earlier one start first. */
    [[nodiscard]] core::duration estimated_wait(core::rank rank, core::time_point deadline);
    [[nodiscard]] const run_estimate& run_time() const { return run_time_; }
    /** @returns how long before its deadline a request of the rank must start.
        @param budget time between the offer and the deadline. */
    [[nodiscard]] core::duration needed_time(core::rank rank, core::duration budget) const;

    [[nodiscard]] const core::pool_id& id() const { return id_; }
    /** @returns the longest run time of a request. */
    [[nodiscard]] core::milliseconds max_run() const { return settings_.max_run; }
    /** @returns the configured slots, whatever the state of their servers. */
    [[nodiscard]] std::uint32_t slots() const { return servers_.slots(); }
    /** @returns the runs in progress. */
    [[nodiscard]] std::uint32_t busy() const { return servers_.running(); }
    /** @returns the runs that may start now. */
    [[nodiscard]] std::uint32_t free() const { return servers_.free(time_.now()); }
    /** @returns the queued requests of a rank. */
    [[nodiscard]] std::size_t queued(core::rank rank) const;
    [[nodiscard]] const slot_time& used_time() const { return slot_time_; }
    [[nodiscard]] const server_set& servers() const { return servers_; }

private:
    [[nodiscard]] std::size_t capacity(core::rank rank) const;
    [[nodiscard]] core::rank pick_rank() const;
    [[nodiscard]] bool has_ready() const;
    [[nodiscard]] bool below_floor(core::rank rank) const;
    void observe_run(core::rank rank, core::duration elapsed);
    void return_credit(const pool_request& request);
    std::vector<dropped_request> drop(const std::vector<pool_request>& requests, core::refusal_reason reason);
    void drop_expired(std::vector<dropped_request>& dropped);
    void start_suspect(std::vector<started_run>& runs);
    [[nodiscard]] const server_slots* reserved_server();
    started_run start(server_slots& server, const pool_request& request, bool solitary);

    core::pool_id id_;
    const core::clock& time_;
    std::function<bool(core::fingerprint)> is_suspect_;
    pool_settings settings_;
    server_set servers_;
    rank_queues queue_;
    rank_queues suspects_; ///< requests that wait to run alone on `solitary_server_`
    std::optional<core::server_id> solitary_server_; ///< reserved for the next suspect
    std::optional<core::exchange_id> solitary_run_;
    slot_time slot_time_;
    run_estimate run_time_;
    core::per_rank<run_estimate> run_time_of_rank_;
    credit_windows credit_;
    std::unordered_map<core::exchange_id, core::server_id> running_;
    bool owned_ = false;
};

} // namespace knapweed::decision
