#pragma once

#include "policy/scheduler.h"

#include <deque>
#include <unordered_map>

namespace knapweed::measure {

/** Baseline for comparison: one queue in order of arrival, or one queue per rank with strict priority. It has
   no floors, and refuses a request early only when the queue is full.

    It has the queue capacity of the pool, drops requests at their deadline and always has an exact count of
   the used slots.
*/
class baseline_scheduler final : public scheduler {
public:
    /** @param by_rank uses one queue per rank instead of a single one. */
    baseline_scheduler(bool by_rank, const decision::pool_settings& settings, const core::clock& time);

    std::optional<core::refusal_reason> offer(const decision::pool_request& request) override;
    decision::schedule_result schedule() override;
    std::vector<core::exchange_id> preempt() override { return {}; }
    void finish(core::exchange_id exchange, decision::run_end end) override;
    void observe(const decision::server_probed&) override {}
    [[nodiscard]] std::size_t queued() const override;

private:
    bool by_rank_;
    decision::pool_settings settings_;
    const core::clock& time_;
    std::size_t slots_ = 0;
    core::per_rank<std::deque<decision::pool_request>> queues_; ///< without `by_rank`, only the first is used
    std::vector<std::uint32_t> busy_;                           ///< used slots, by server
    std::unordered_map<core::exchange_id, std::size_t> running_;
};

} // namespace knapweed::measure
