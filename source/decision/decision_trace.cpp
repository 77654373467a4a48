#include "decision/decision_trace.h"

namespace knapweed::decision {

void decision_trace::add(const std::string& request, trace_step step, std::string detail)
{
    const auto [found, is_new] = steps_.try_emplace(request);
    if (is_new) {
        order_.push_back(request);
        if (order_.size() > capacity_) {
            steps_.erase(order_.front());
            order_.pop_front();
        }
    }
    if (found->second.size() < max_steps)
        found->second.push_back({time_.now(), step, std::move(detail)});
}

std::vector<decision_trace::entry> decision_trace::steps(const std::string& request) const
{
    const auto found = steps_.find(request);
    return found == steps_.end() ? std::vector<entry>{} : found->second;
}

} // namespace knapweed::decision
