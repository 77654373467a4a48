#pragma once

#include "decision/assumed_slots.h"
#include "decision/event.h"
#include "decision/pool_request.h"
#include "decision/pool_settings.h"

namespace knapweed::decision {

/** A request on a slot. */
struct slot_run {
    pool_request request;
    core::time_point started;
    bool solitary = false;
    bool death_reported = false; ///< the server has died since the run started
    bool cancelling = false;     ///< chosen for preemption; its end has not been reported yet
};

/** The slots of one server: what runs on them, and how many may be used now.

    Never more than the configured slots are occupied at once, whatever load reports say: a report can only
   lower the number of usable slots, or give back slots that are merely assumed to be occupied.
*/
class server_slots {
public:
    /** A new server starts cold: one usable slot, one more with each success. */
    explicit server_slots(pool_server server) : server_(std::move(server)) {}

    /** @param max_run longest run time; a run that exceeds it and a grace time is overdue. */
    void configure(const pool_server& server, core::duration max_run);

    /** Marks the server as removed from the configuration: no new work, running work goes on. */
    void retire() { retired_ = true; }
    [[nodiscard]] bool retired() const { return retired_; }

    /** Limits this owner to a share of the slots, while ownership is disputed.
        @param minimum slots that this owner may use at least. */
    void set_share(std::uint32_t candidates, std::uint32_t minimum);

    /** Assumes that a previous owner occupies @p count slots, or all of them. */
    void assume_occupied(std::optional<std::uint32_t> count, core::time_point now);

    void set_listed_leaving(bool leaving) { listed_leaving_ = leaving; }
    void observe(bool reached, core::time_point sent, const server_report& report, core::time_point now);

    /** Drops assumptions whose time has passed. */
    void tick(core::time_point now) { assumed_.expire(now); }

    /** @returns whether the server may receive new work. */
    [[nodiscard]] bool open(core::time_point now) const;
    /** @returns the number of runs that may start now. */
    [[nodiscard]] std::uint32_t free(core::time_point now) const;
    /** @returns the slots this owner may use when nothing else occupies them. */
    [[nodiscard]] std::uint32_t usable() const;
    [[nodiscard]] std::uint32_t running() const { return static_cast<std::uint32_t>(runs_.size()); }
    [[nodiscard]] std::uint32_t occupied() const { return running() + assumed_.count(); }
    [[nodiscard]] const pool_server& server() const { return server_; }
    [[nodiscard]] const std::vector<slot_run>& runs() const { return runs_; }
    [[nodiscard]] std::vector<slot_run>& runs() { return runs_; }
    [[nodiscard]] std::uint32_t connection_limit() const;

    void start(const pool_request& request, bool solitary, core::time_point now);

    /** @returns nothing when the exchange does not run here. */
    std::optional<finished_run> finish(core::exchange_id exchange, run_end end, core::time_point now);

    /** @returns a run by its exchange; null when it does not run here. */
    [[nodiscard]] slot_run* find(core::exchange_id exchange);
    [[nodiscard]] core::time_point last_started() const { return last_started_; }

    /** @returns the runs that exceed the longest run time and the grace time. */
    [[nodiscard]] std::vector<core::exchange_id> overdue(core::time_point now) const;

private:
    void learn_from(run_end end, const slot_run& run, core::time_point now);
    [[nodiscard]] std::optional<core::time_point> end_of_timed_out(const slot_run& run,
                                                                   core::time_point now) const;
    void on_death(finished_run& finished, const slot_run& run, core::time_point now);
    void on_unreached(core::time_point sent);
    void restart_cold();
    [[nodiscard]] std::uint32_t running_since(core::time_point time) const;

    pool_server server_;
    core::duration max_run_{std::chrono::seconds{30}};
    std::vector<slot_run> runs_;
    assumed_slots assumed_;
    std::uint32_t warm_ = 1; ///< slots that successes have shown the server can use
    std::uint32_t candidates_ = 1;
    std::uint32_t share_minimum_ = 0;
    unsigned unreached_ = 0; ///< probes in a row
    unsigned failures_ = 0;  ///< runs in a row that found no working server
    core::time_point closed_until_{};
    core::time_point last_started_{};
    core::time_point last_report_{};
    core::time_point last_success_{};
    core::time_point leaving_until_{};
    bool retired_ = false;
    bool listed_leaving_ = false;
    bool reports_leaving_ = false;
    bool reports_unhealthy_ = false;
};

} // namespace knapweed::decision
