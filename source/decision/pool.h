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

/** Slots and rank queues of one service in one data centre, owned by one entry instance.

    How it is driven by `entry_node`:

    1. Becoming the owner: construct, `apply` the configuration, then `take_over`, or `accept` when the
   previous owner handed over. `set_peers` names every instance that may send requests, this one included.
    2. A request arrives: `offer`. Without a refusal it is queued, or starts with the next `schedule`. When
   the witness acknowledges the intent of a request that was not ready: `mark_ready`.
    3. After every event that can free a slot or queue a request, and on every tick: `schedule` (refuse each
   dropped request, dispatch each started run), then `preempt` (cancel the dispatches of these exchanges).
   Also on every tick: `overdue` (cancel, too).
    4. A dispatch ends: `finish`, once per started run; if the result names a death, pass it to `crash_guard`.
       A preempted request ends as cancelled and may be offered again.
    5. The caller has gone: `withdraw`; if that returns false the request runs, and its dispatch is to be
   cancelled. A fingerprint is quarantined: `withdraw_fingerprint`, and refuse the exchanges.
    6. `observe` every probe; `set_leaving` when the platform's list names a server as leaving or no longer
   does.
    7. Per heartbeat: `refresh_windows` once, then `report_for` each peer.
    8. Losing the pool: `hand_over` to the new owner and refuse the exchanges of `withdraw_all`. Runs go on
   until `finish`; nothing new starts here until `take_over` or `accept`.
*/
class pool {
public:
    /** @param time must outlive this object.
        @param is_suspect tells whether a fingerprint must run alone; may be empty. @see crash_guard */
    pool(core::pool_id id, const core::clock& time,
         std::function<bool(core::fingerprint)> is_suspect = nullptr);

    void apply(const pool_settings& settings);

    /** Becomes the owner without knowledge of what runs on the servers. */
    void take_over();
    /** Becomes the owner with the exact counts of the previous owner. */
    void accept(const wire::hand_over_pool& counts);
    /** Stops being the owner. @returns the occupied slots, for the new owner. */
    wire::hand_over_pool hand_over();
    [[nodiscard]] bool owned() const { return owned_; }

    /** Limits this owner to its share among the candidates. @see server_set::dispute */
    void dispute(std::uint32_t candidates, bool present_owner)
    {
        servers_.dispute(candidates, present_owner);
    }
    void end_dispute() { servers_.end_dispute(time_.now()); }
    [[nodiscard]] bool disputed() const { return servers_.disputed(); }

    /** Queues a request. @returns the reason when it is refused; it is then not queued and never runs here.
     */
    std::optional<core::refusal_reason> offer(const pool_request& request);
    /** @returns false when the exchange is not queued. */
    bool mark_ready(core::exchange_id exchange);
    /** Removes a queued request. @returns false when the exchange is not queued. */
    bool withdraw(core::exchange_id exchange);
    std::vector<dropped_request> withdraw_fingerprint(core::fingerprint fingerprint);
    std::vector<dropped_request> withdraw_all(core::refusal_reason reason);

    /** Drops the queued requests that can no longer meet their deadline, and starts what can start now. */
    schedule_result schedule();
    /** @returns nothing when the exchange does not run. */
    std::optional<finished_run> finish(core::exchange_id exchange, run_end end);

    /** @returns bulk runs to cancel so that urgent work starts sooner. */
    std::vector<core::exchange_id> preempt();
    /** @returns runs that exceed the longest run time; their slots stay occupied until `finish`. */
    [[nodiscard]] std::vector<core::exchange_id> overdue() const { return servers_.overdue(time_.now()); }

    void observe(const server_probed& probe);
    void set_leaving(const core::server_id& server, bool leaving);

    void set_peers(const std::vector<credit_peer>& peers);
    void refresh_windows();
    [[nodiscard]] wire::pool_report report_for(const core::instance_id& peer) const;

    /** @returns the estimated time in the queue of a request that arrives now. */
    [[nodiscard]] core::duration estimated_wait(core::rank rank, core::time_point deadline);
    [[nodiscard]] const run_estimate& run_time() const { return run_time_; }
    /** @returns the time that a run of the rank needs before its deadline.
        @param budget time between the offer and the deadline. */
    [[nodiscard]] core::duration needed_time(core::rank rank, core::duration budget) const;

    [[nodiscard]] const core::pool_id& id() const { return id_; }
    /** @returns the longest run time of a request. */
    [[nodiscard]] core::milliseconds max_run() const { return settings_.max_run; }
    [[nodiscard]] std::uint32_t slots() const { return servers_.slots(); }
    [[nodiscard]] std::uint32_t busy() const { return servers_.running(); }
    [[nodiscard]] std::uint32_t free() const { return servers_.free(time_.now()); }
    [[nodiscard]] std::size_t queued(core::rank rank) const;
    [[nodiscard]] const slot_time& used_time() const { return used_; }
    [[nodiscard]] const server_set& servers() const { return servers_; }

private:
    [[nodiscard]] std::size_t capacity(core::rank rank) const;
    [[nodiscard]] core::rank pick_rank() const;
    [[nodiscard]] bool has_ready() const;
    [[nodiscard]] bool below_floor(core::rank rank) const;
    void observe_run(core::rank rank, core::duration elapsed);
    void leave_queue(const pool_request& request);
    std::vector<dropped_request> drop(const std::vector<pool_request>& requests, core::refusal_reason reason);
    void drop_hopeless(std::vector<dropped_request>& dropped);
    void take_suspect(std::vector<started_run>& runs);
    [[nodiscard]] const server_slots* reserved_server();
    started_run start(server_slots& server, const pool_request& request, bool solitary);

    core::pool_id id_;
    const core::clock& time_;
    std::function<bool(core::fingerprint)> is_suspect_;
    pool_settings settings_;
    server_set servers_;
    rank_queues queue_;
    rank_queues suspects_; ///< wait for the solitary server
    std::optional<core::server_id> solitary_server_;
    std::optional<core::exchange_id> solitary_run_;
    slot_time used_;
    run_estimate run_time_;
    core::per_rank<run_estimate> run_time_of_rank_;
    credit_windows credit_;
    std::unordered_map<core::exchange_id, core::server_id> running_;
    bool owned_ = false;
};

} // namespace knapweed::decision
