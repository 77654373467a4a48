#include "steering/route_table.h"

#include <algorithm>
#include <cctype>

namespace knapweed::steering {

namespace {

std::string normalise_host(std::string_view host)
{
    std::string result(host.substr(0, host.rfind(':')));
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return result;
}

} // namespace

route_table::route_table(std::shared_ptr<const traffic_policy> policy) : policy_(std::move(policy))
{
    for (const auto& candidate : policy_->routes) {
        by_host_[normalise_host(candidate.host)].push_back(&candidate);
        for (const auto& share : candidate.shares) {
            auto& most_urgent = most_urgent_.try_emplace(share.service, candidate.urgency).first->second;
            most_urgent = std::min(most_urgent, candidate.urgency);
        }
    }
    for (auto& [host, routes] : by_host_) {
        std::stable_sort(routes.begin(), routes.end(),
                         [](const route* a, const route* b) { return a->prefix.size() > b->prefix.size(); });
    }
}

const route* route_table::find(std::string_view host, std::string_view path) const
{
    const auto found = by_host_.find(normalise_host(host));
    if (found == by_host_.end())
        return nullptr;
    for (const auto* candidate : found->second) {
        if (path.starts_with(candidate->prefix))
            return candidate;
    }
    return nullptr;
}

bool route_table::is_most_urgent(unsigned urgency, const core::service_id& service) const
{
    const auto found = most_urgent_.find(service);
    return found == most_urgent_.end() || urgency <= found->second;
}

} // namespace knapweed::steering
