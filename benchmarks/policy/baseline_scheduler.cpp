#include "policy/baseline_scheduler.h"

#include <algorithm>

namespace knapweed::measure {

baseline_scheduler::baseline_scheduler(bool by_rank, const decision::pool_settings& settings,
                                       const core::clock& time)
    : by_rank_(by_rank), settings_(settings), time_(time), busy_(settings.servers.size())
{
    for (const auto& server : settings.servers)
        slots_ += server.slots;
}

std::optional<core::refusal_reason> baseline_scheduler::offer(const decision::pool_request& request)
{
    const auto rank = core::index_of(request.rank);
    auto& queue = queues_[by_rank_ ? rank : 0];
    double queue_per_slot = 0;
    for (std::size_t i = 0; i < core::number_of_ranks; ++i)
        queue_per_slot += by_rank_ && i != rank ? 0 : settings_.ranks[i].queue_per_slot;
    if (static_cast<double>(queue.size()) >= queue_per_slot * static_cast<double>(slots_))
        return core::refusal_reason::queue_full;
    queue.push_back(request);
    return std::nullopt;
}

decision::schedule_result baseline_scheduler::schedule()
{
    decision::schedule_result result;
    const auto now = time_.now();
    for (auto& queue : queues_) {
        while (!queue.empty()) {
            const auto request = queue.front();
            const auto server = static_cast<std::size_t>(
                std::distance(busy_.begin(), std::min_element(busy_.begin(), busy_.end())));
            if (request.deadline <= now) {
                result.dropped.push_back(
                    {request.exchange, request.rank, core::refusal_reason::expired_in_queue});
                queue.pop_front();
                continue;
            }
            if (busy_[server] >= settings_.servers[server].slots)
                break;
            queue.pop_front();
            ++busy_[server];
            running_.emplace(request.exchange, server);
            result.started.push_back({request.exchange, settings_.servers[server].server, {}, 0, false});
        }
    }
    return result;
}

void baseline_scheduler::finish(core::exchange_id exchange, decision::run_end /*end*/)
{
    const auto found = running_.find(exchange);
    if (found == running_.end())
        return;
    --busy_[found->second];
    running_.erase(found);
}

std::size_t baseline_scheduler::queued() const
{
    std::size_t sum = 0;
    for (const auto& queue : queues_)
        sum += queue.size();
    return sum;
}

} // namespace knapweed::measure
