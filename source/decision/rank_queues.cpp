#include "decision/rank_queues.h"

#include <iterator>

namespace knapweed::decision {

void rank_queues::push(const pool_request& request)
{
    const bool inserted = requests_.emplace(request.exchange, request).second;
    core::ensure(inserted, "a pushed exchange is not queued yet");
    queue_of(request).emplace(request.deadline, request.exchange);
}

bool rank_queues::mark_ready(core::exchange_id exchange)
{
    const auto found = requests_.find(exchange);
    if (found == requests_.end())
        return false;
    auto& request = found->second;
    queue_of(request).erase({request.deadline, exchange});
    request.ready = true;
    queue_of(request).emplace(request.deadline, exchange);
    return true;
}

std::optional<pool_request> rank_queues::withdraw(core::exchange_id exchange)
{
    const auto found = requests_.find(exchange);
    if (found == requests_.end())
        return std::nullopt;
    pool_request request = std::move(found->second);
    queue_of(request).erase({request.deadline, exchange});
    requests_.erase(found);
    return request;
}

std::vector<pool_request> rank_queues::withdraw_if(const std::function<bool(const pool_request&)>& matches)
{
    std::vector<core::exchange_id> matching;
    for (const auto* queues : {&ready_, &not_ready_}) {
        for (const auto& queue : *queues) {
            for (const auto& [deadline, exchange] : queue) {
                if (matches(requests_.at(exchange)))
                    matching.push_back(exchange);
            }
        }
    }
    std::vector<pool_request> removed;
    removed.reserve(matching.size());
    for (const auto exchange : matching)
        removed.push_back(*withdraw(exchange));
    return removed;
}

std::vector<pool_request> rank_queues::expire(core::time_point now)
{
    std::vector<pool_request> expired;
    for (auto* queues : {&ready_, &not_ready_}) {
        for (auto& queue : *queues) {
            while (!queue.empty() && queue.begin()->first <= now)
                expired.push_back(*withdraw(queue.begin()->second));
        }
    }
    return expired;
}

const pool_request& rank_queues::front(core::rank rank) const
{
    core::ensure(has_ready(rank), "front() needs a rank with a ready request");
    return requests_.at(ready_[core::index_of(rank)].begin()->second);
}

pool_request rank_queues::pop(core::rank rank)
{
    return *withdraw(front(rank).exchange);
}

std::size_t rank_queues::size(core::rank rank) const
{
    return ready_[core::index_of(rank)].size() + not_ready_[core::index_of(rank)].size();
}

std::size_t rank_queues::ahead_of(core::rank rank, core::time_point deadline) const
{
    const auto& ready = ready_[core::index_of(rank)];
    const auto& not_ready = not_ready_[core::index_of(rank)];
    const std::pair<core::time_point, core::exchange_id> key{deadline, {}};
    return static_cast<std::size_t>(std::distance(ready.begin(), ready.lower_bound(key)) +
                                    std::distance(not_ready.begin(), not_ready.lower_bound(key)));
}

rank_queues::deadline_queue& rank_queues::queue_of(const pool_request& request)
{
    return (request.ready ? ready_ : not_ready_)[core::index_of(request.rank)];
}

} // namespace knapweed::decision
