#include "decision/link_budget.h"

#include <algorithm>

namespace knapweed::decision {

namespace {

/** Share of the capacity that is reserved for more urgent ranks, by rank. */
constexpr core::per_rank<double> reserved_part{0.0, 0.15, 0.40};

} // namespace

void link_budget::configure(const core::region_id& region, double bytes_per_second)
{
    core::ensure(bytes_per_second > 0, "the rate of a link must be positive");
    auto [found, is_new] = buckets_.try_emplace(region);
    auto& target = found->second;
    target.level = is_new ? bytes_per_second : std::min(current_level(target), bytes_per_second);
    target.rate = bytes_per_second;
    target.updated = time_.now();
}

bool link_budget::admits(const core::region_id& region, core::rank rank) const
{
    const auto found = buckets_.find(region);
    if (found == buckets_.end())
        return true;
    return current_level(found->second) > reserved_part[core::index_of(rank)] * found->second.rate;
}

void link_budget::charge(const core::region_id& region, std::uint64_t bytes)
{
    const auto found = buckets_.find(region);
    if (found == buckets_.end())
        return;
    auto& target = found->second;
    target.level = current_level(target) - static_cast<double>(bytes);
    target.updated = time_.now();
}

double link_budget::current_level(const bucket& link) const
{
    const std::chrono::duration<double> elapsed = time_.now() - link.updated;
    return std::min(link.level + elapsed.count() * link.rate, link.rate);
}

} // namespace knapweed::decision
