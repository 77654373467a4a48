#include "steering/share_selector.h"

#include <algorithm>

namespace knapweed::steering {

namespace {

bool same_shares(const std::vector<service_share>& a, const std::vector<service_share>& b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const auto& left, const auto& right) {
        return left.service == right.service && left.weight == right.weight;
    });
}

} // namespace

const core::service_id* share_selector::next(const route& matched)
{
    if (matched.shares.size() == 1)
        return &matched.shares.front().service;
    auto& state = by_route_[matched.name];
    if (!same_shares(state.shares, matched.shares))
        state = {matched.shares, std::vector<double>(matched.shares.size(), 0.0)};
    double total = 0;
    std::size_t best = matched.shares.size();
    for (std::size_t i = 0; i < matched.shares.size(); ++i) {
        const double weight = matched.shares[i].weight;
        if (weight <= 0)
            continue;
        total += weight;
        state.current_weights[i] += weight;
        if (best == matched.shares.size() || state.current_weights[i] > state.current_weights[best])
            best = i;
    }
    if (best == matched.shares.size())
        return nullptr;
    state.current_weights[best] -= total;
    return &matched.shares[best].service;
}

void share_selector::keep_only(const traffic_policy& policy)
{
    std::erase_if(by_route_, [&policy](const auto& entry) {
        return std::none_of(policy.routes.begin(), policy.routes.end(),
                            [&entry](const route& candidate) { return candidate.name == entry.first; });
    });
}

} // namespace knapweed::steering
