#pragma once

#include "decision/pool.h"

#include <memory>
#include <string>

namespace knapweed::measure {

/** Schedules requests onto the servers of one data centre by the policy under measurement.
    @see decision::pool */
class scheduler {
public:
    scheduler() = default;
    scheduler(const scheduler&) = delete;
    scheduler& operator=(const scheduler&) = delete;
    virtual ~scheduler() = default;

    virtual std::optional<core::refusal_reason> offer(const decision::pool_request& request) = 0;
    virtual decision::schedule_result schedule() = 0;
    virtual std::vector<core::exchange_id> preempt() = 0;
    virtual void finish(core::exchange_id exchange, decision::run_end end) = 0;
    virtual void observe(const decision::server_probed& probe) = 0;
    [[nodiscard]] virtual std::size_t queued() const = 0;
};

/** Policies to compare; `floors` is that of `decision::pool` with its default settings. */
enum class policy { fifo, strict_priority, floors, floors_preempting };

/** @returns the name in the printed table. */
[[nodiscard]] std::string name_of(policy value);

/** @returns a scheduler that owns the servers of one data centre. */
[[nodiscard]] std::unique_ptr<scheduler> make_scheduler(policy kind, const decision::pool_settings& settings,
                                                        const core::clock& time);

} // namespace knapweed::measure
