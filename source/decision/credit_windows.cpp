#include "decision/credit_windows.h"

#include <algorithm>
#include <cmath>

namespace knapweed::decision {

namespace {

/** Demand halves with each refresh, so the places of a peer that sends no requests are reassigned within a
   few heartbeats. */
constexpr double demand_decay = 0.5;
/** Added to the demand of each peer, so that a peer without recent requests gets some of the places, too. */
constexpr double minimum_demand = 1;

} // namespace

void credit_windows::set_peers(const std::vector<credit_peer>& peers)
{
    for (auto& [instance, account] : accounts_)
        account.is_peer = false;
    for (const auto& peer : peers) {
        auto& account = accounts_[peer.instance];
        account.same_region = peer.same_region;
        account.is_peer = true;
    }
    std::erase_if(accounts_, [](const auto& entry) {
        const auto& outstanding = entry.second.outstanding;
        return !entry.second.is_peer &&
               std::all_of(outstanding.begin(), outstanding.end(), [](auto count) { return count == 0; });
    });
}

void credit_windows::refresh(const core::per_rank<std::uint32_t>& capacity)
{
    for (std::size_t rank = 0; rank < core::number_of_ranks; ++rank)
        divide(rank, capacity[rank]);
}

bool credit_windows::admits(const core::instance_id& peer, core::rank rank) const
{
    const auto found = accounts_.find(peer);
    if (found == accounts_.end())
        return false;
    const auto i = core::index_of(rank);
    const auto& account = found->second;
    // The peer may not have received the latest window yet, so the previous one is still valid.
    const auto window = std::max(account.window[i], account.previous_window[i]);
    return account.outstanding[i] < std::max(window, account.same_region ? 1U : 0U);
}

void credit_windows::record_demand(const core::instance_id& peer, core::rank rank)
{
    if (const auto found = accounts_.find(peer); found != accounts_.end())
        found->second.demand[core::index_of(rank)] += 1;
}

void credit_windows::reserve(const core::instance_id& peer, core::rank rank)
{
    ++accounts_[peer].outstanding[core::index_of(rank)];
}

void credit_windows::release(const core::instance_id& peer, core::rank rank)
{
    const auto found = accounts_.find(peer);
    core::ensure(found != accounts_.end() && found->second.outstanding[core::index_of(rank)] > 0,
                 "released credit was reserved before");
    --found->second.outstanding[core::index_of(rank)];
}

std::uint32_t credit_windows::window(const core::instance_id& peer, core::rank rank) const
{
    const auto found = accounts_.find(peer);
    return found == accounts_.end() ? 0 : found->second.window[core::index_of(rank)];
}

void credit_windows::divide(std::size_t rank, std::uint32_t capacity)
{
    double total_demand = 0;
    auto undivided = capacity;
    for (auto& [instance, account] : accounts_) {
        account.previous_window[rank] = account.window[rank];
        account.window[rank] = 0;
        if (!account.is_peer)
            continue;
        total_demand += account.demand[rank] + minimum_demand;
        if (account.same_region && undivided > 0) {
            account.window[rank] = 1;
            --undivided;
        }
    }
    for (auto& [instance, account] : accounts_) {
        if (!account.is_peer)
            continue;
        const double share = (account.demand[rank] + minimum_demand) / total_demand;
        account.window[rank] += static_cast<std::uint32_t>(std::floor(share * undivided));
        account.demand[rank] *= demand_decay;
    }
}

} // namespace knapweed::decision
