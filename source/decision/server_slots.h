#pragma once

#include "decision/assumed_slots.h"
#include "decision/event.h"
#include "decision/pool_request.h"
#include "decision/pool_settings.h"

namespace knapweed::decision {

/** A request that runs on a slot of a server. */
struct slot_run {
    pool_request request;
    core::time_point started;
    bool solitary = false;       ///< must run alone on the server
    bool death_reported = false; ///< the death of the server during this run has been reported
    bool cancelling = false;     ///< chosen for preemption; its end has not been reported yet
};

/** The slots of one backend server: the runs on them, and how many more runs may start.

    Never more than the configured slots are occupied at once, whatever the load reports contain: a report can
   only lower the number of usable slots, or free slots that are merely assumed to be occupied.
*/
class server_slots {
public:
    /** Slow start: a new server has one usable slot, and one more after each success. */
    explicit server_slots(pool_server server) : server_(std::move(server)) {}

    /** Applies the configuration of the server.
        @param max_run longest run time; a run that takes longer than this and a grace time is overdue. */
    void configure(const pool_server& server, core::duration max_run);

    /** Marks the server as removed from the configuration: no new runs start, runs in progress continue. */
    void retire() { retired_ = true; }
    [[nodiscard]] bool retired() const { return retired_; }

    /** Limits this owner to a share of the slots, while ownership is disputed.
        @param candidates instances that may be the owner; each uses an equal share
        @param minimum slots that this owner may use even if its share is smaller. */
    void set_share(std::uint32_t candidates, std::uint32_t minimum);

    /** Assumes that runs of another owner occupy @p count of the slots, or all of them without a count.
        At most the unoccupied slots are marked. */
    void assume_occupied(std::optional<std::uint32_t> count, core::time_point now);

    /** Sets whether the platform lists the server as leaving. */
    void set_listed_leaving(bool leaving) { listed_leaving_ = leaving; }
    /** Updates the state from a probe; ignores probes that were sent before the latest observed one.
        @param reached whether the server answered; @p report is unused otherwise
        @param sent time at which the probe was sent. */
    void observe(bool reached, core::time_point sent, const server_report& report, core::time_point now);

    /** Frees slots that were assumed to be occupied for a limited time which has passed. */
    void tick(core::time_point now) { assumed_slots_.expire(now); }

    /** @returns whether the server may receive new work. */
    [[nodiscard]] bool open(core::time_point now) const;
    /** @returns the number of runs that may start now. */
    [[nodiscard]] std::uint32_t free(core::time_point now) const;
    /** @returns the slots that this owner may use if no other work occupies them. */
    [[nodiscard]] std::uint32_t usable() const;
    [[nodiscard]] std::uint32_t running() const { return static_cast<std::uint32_t>(runs_.size()); }
    /** @returns the slots in use: runs of this owner, and slots assumed to be occupied. */
    [[nodiscard]] std::uint32_t occupied() const { return running() + assumed_slots_.count(); }
    [[nodiscard]] const pool_server& server() const { return server_; }
    [[nodiscard]] const std::vector<slot_run>& runs() const { return runs_; }
    [[nodiscard]] std::vector<slot_run>& runs() { return runs_; }
    /** @returns this owner's share of the connections, at least 1. */
    [[nodiscard]] std::uint32_t connection_limit() const;

    /** Starts a run; a slot must be unoccupied. */
    void start(const pool_request& request, bool solitary, core::time_point now);

    /** Ends a run. Its slot may stay assumed as occupied for a while, depending on @p end.
        @returns nothing when the exchange does not run here. */
    std::optional<finished_run> finish(core::exchange_id exchange, run_end end, core::time_point now);

    /** @returns a run by its exchange; null when it does not run here. */
    [[nodiscard]] slot_run* find(core::exchange_id exchange);
    [[nodiscard]] core::time_point last_started() const { return last_started_; }

    /** @returns the runs that exceed the longest run time and the grace time. */
    [[nodiscard]] std::vector<core::exchange_id> overdue(core::time_point now) const;

private:
    void update_after_run(run_end end, const slot_run& run, core::time_point now);
    [[nodiscard]] std::optional<core::time_point> assumed_end_of_timed_out(const slot_run& run,
                                                                           core::time_point now) const;
    void on_death(finished_run& finished, const slot_run& run, core::time_point now);
    void on_failed_probe(core::time_point sent);
    void reset_to_cold_start();
    [[nodiscard]] std::uint32_t running_since(core::time_point time) const;

    pool_server server_;
    core::duration max_run_{std::chrono::seconds{30}};
    std::vector<slot_run> runs_;
    assumed_slots assumed_slots_;
    std::uint32_t slow_start_limit_ = 1; ///< usable slots; grows by one with each success
    std::uint32_t candidates_ = 1;
    std::uint32_t minimum_share_ = 0;
    unsigned failed_probes_ = 0;        ///< consecutive
    unsigned consecutive_failures_ = 0; ///< connection failures and deaths since the last success
    core::time_point closed_until_{};
    core::time_point last_started_{};
    core::time_point last_report_{}; ///< when the latest observed probe was sent
    core::time_point last_success_{};
    core::time_point leaving_until_{};
    bool retired_ = false;
    bool listed_leaving_ = false;
    bool reports_leaving_ = false;
    bool reports_unhealthy_ = false;
};

} // namespace knapweed::decision
