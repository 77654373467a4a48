#include "decision/credit_table.h"

namespace knapweed::decision {

void credit_table::report(const wire::pool_report& received)
{
    auto& target =
        entries_[{core::service_id{received.service()}, core::data_centre_id{received.data_centre()}}];
    target.last = received;
    target.received = time_.now();
    target.reported = true;
}

std::uint32_t credit_table::available(const core::pool_id& pool, core::rank rank, bool same_region) const
{
    const std::uint32_t without_report = same_region ? 1 : 0;
    const auto found = entries_.find(pool);
    if (found == entries_.end())
        return without_report;
    const auto& target = found->second;
    const auto index = core::index_of(rank);
    const bool granted = is_fresh(target) && static_cast<std::size_t>(target.last.window_size()) > index;
    const std::uint32_t window = granted ? target.last.window(static_cast<int>(index)) : without_report;
    const auto outstanding = target.outstanding[index];
    return window > outstanding ? window - outstanding : 0;
}

void credit_table::sent(const core::pool_id& pool, core::rank rank)
{
    ++entries_[pool].outstanding[core::index_of(rank)];
}

void credit_table::returned(const core::pool_id& pool, core::rank rank)
{
    auto& outstanding = entries_[pool].outstanding[core::index_of(rank)];
    core::ensure(outstanding > 0, "returned() follows sent() for the same pool and rank");
    --outstanding;
}

const wire::pool_report* credit_table::fresh_report(const core::pool_id& pool) const
{
    const auto found = entries_.find(pool);
    if (found == entries_.end() || !is_fresh(found->second))
        return nullptr;
    return &found->second.last;
}

std::optional<core::duration> credit_table::report_age(const core::pool_id& pool) const
{
    const auto found = entries_.find(pool);
    if (found == entries_.end() || !found->second.reported)
        return std::nullopt;
    return time_.now() - found->second.received;
}

bool credit_table::is_fresh(const entry& candidate) const
{
    return candidate.reported && time_.now() - candidate.received <= report_lifetime;
}

} // namespace knapweed::decision
