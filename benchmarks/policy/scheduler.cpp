#include "policy/scheduler.h"

#include "policy/baseline_scheduler.h"

namespace knapweed::measure {

namespace {

/** Adapts `decision::pool` to the interface. */
class pool_scheduler final : public scheduler {
public:
    pool_scheduler(const decision::pool_settings& settings, const core::clock& time)
        : pool_(settings.id, time)
    {
        pool_.apply(settings);
        pool_.accept({});
        pool_.set_peers({{core::instance_id{"e1"}, true}});
    }

    std::optional<core::refusal_reason> offer(const decision::pool_request& request) override
    {
        return pool_.offer(request);
    }
    decision::schedule_result schedule() override { return pool_.schedule(); }
    std::vector<core::exchange_id> preempt() override { return pool_.preempt(); }
    void finish(core::exchange_id exchange, decision::run_end end) override { pool_.finish(exchange, end); }
    void observe(const decision::server_probed& probe) override { pool_.observe(probe); }
    [[nodiscard]] std::size_t queued() const override
    {
        std::size_t sum = 0;
        for (const auto rank : core::all_ranks)
            sum += pool_.queued(rank);
        return sum;
    }

private:
    decision::pool pool_;
};

} // namespace

std::string name_of(policy value)
{
    switch (value) {
    case policy::fifo:
        return "fifo";
    case policy::strict_priority:
        return "strict";
    case policy::floors:
        return "floors";
    case policy::floors_preempting:
        return "floors+preempt";
    }
    return {};
}

std::unique_ptr<scheduler> make_scheduler(policy kind, const decision::pool_settings& settings,
                                          const core::clock& time)
{
    if (kind == policy::fifo || kind == policy::strict_priority)
        return std::make_unique<baseline_scheduler>(kind == policy::strict_priority, settings, time);
    auto chosen = settings;
    chosen.preemption.enabled = kind == policy::floors_preempting;
    return std::make_unique<pool_scheduler>(chosen, time);
}

} // namespace knapweed::measure
