#include "policy/tally.h"

#include <algorithm>

namespace knapweed::measure {

namespace {

double ratio(double part, double whole, double fallback)
{
    return whole > 0 ? part / whole : fallback;
}

} // namespace

double tally::rank_tally::latency_quantile(double q) const
{
    if (latency_ms.empty())
        return 0;
    auto sorted = latency_ms;
    const auto nth = sorted.begin() + static_cast<std::ptrdiff_t>(q * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), nth, sorted.end());
    return static_cast<double>(*nth);
}

double tally::slot_seconds() const
{
    double sum = 0;
    for (const auto& rank : ranks)
        sum += rank.slot_seconds;
    return sum;
}

double tally::share(core::rank rank) const
{
    return ratio(ranks[core::index_of(rank)].slot_seconds, slot_seconds(), 0);
}

double tally::wasted_share() const
{
    return ratio(wasted_slot_seconds, slot_seconds(), 0);
}

double tally::idle_share() const
{
    return ratio(backlog_idle_seconds, backlog_seconds, 0);
}

double tally::use_during_backlog() const
{
    return ratio(backlog_busy_seconds, backlog_slot_seconds, 1);
}

} // namespace knapweed::measure
