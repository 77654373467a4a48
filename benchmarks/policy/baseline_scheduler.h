#pragma once

#include "policy/scheduler.h"

#include <deque>
#include <unordered_map>

namespace knapweed::measure {

/** Baseline: one queue in order of arrival, or one per rank with strict priority; no floors, no early
   refusal.

    It has the queue capacity of the pool, drops requests at their deadline and always has an exact count of
   the slots.
*/
class baseline_scheduler final : public scheduler {
public:
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
    core::per_rank<std::deque<decision::pool_request>> queues_; ///< only the first one without ranks
    std::vector<std::uint32_t> busy_;                           ///< by server
    std::unordered_map<core::exchange_id, std::size_t> running_;
};

} // namespace knapweed::measure
