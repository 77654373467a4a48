#pragma once

#include "decision/pool_request.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace knapweed::differential {

/** Simple model of `decision::pool`: a list of all requests, sorted whenever runs are chosen, and a count of
   the used slots. It has no floors, credit or estimates: the test configures no floors, and sets the latest
   start of each request from the pool's estimate. */
class naive_pool {
public:
    struct server {
        std::uint32_t slots = 1;
        std::uint32_t slow_start_limit = 1;
        bool leaving = false; ///< gets no new runs
        std::vector<std::uint64_t> running;
    };

    std::map<std::string, server> servers;
    std::vector<decision::pool_request> queued;
    std::size_t capacity = 0; ///< requests that may be queued, per rank

    [[nodiscard]] bool any_open() const
    {
        return std::any_of(servers.begin(), servers.end(),
                           [](const auto& candidate) { return !candidate.second.leaving; });
    }

    [[nodiscard]] std::optional<core::refusal_reason> offer(const decision::pool_request& request)
    {
        const auto of_rank = std::count_if(queued.begin(), queued.end(),
                                           [&](const auto& other) { return other.rank == request.rank; });
        if (!any_open())
            return core::refusal_reason::no_backend_server;
        if (static_cast<std::size_t>(of_rank) >= capacity)
            return core::refusal_reason::queue_full;
        queued.push_back(request);
        return std::nullopt;
    }

    /** Removes the requests whose deadline has been reached. @returns their exchanges in ascending order. */
    std::vector<std::uint64_t> expire(core::time_point now)
    {
        std::vector<std::uint64_t> expired;
        for (const auto& request : queued) {
            if (request.deadline <= now)
                expired.push_back(request.exchange.value);
        }
        std::erase_if(queued, [now](const auto& request) { return request.deadline <= now; });
        std::sort(expired.begin(), expired.end());
        return expired;
    }

    [[nodiscard]] std::size_t free() const
    {
        std::size_t sum = 0;
        for (const auto& [name, candidate] : servers)
            sum += free_slots(candidate);
        return sum;
    }

    [[nodiscard]] static std::size_t free_slots(const server& candidate)
    {
        const std::size_t usable = std::min(candidate.slots, candidate.slow_start_limit);
        return candidate.leaving || candidate.running.size() >= usable ? 0
                                                                       : usable - candidate.running.size();
    }

    struct choice {
        std::vector<std::uint64_t> started; ///< in the order in which they start
        /** Requests that reached the head of the queue after their latest start. */
        std::vector<std::uint64_t> past_latest_start;
    };

    /** @returns the requests that should start now, and those that should be dropped instead. */
    [[nodiscard]] choice choose_next(core::time_point now) const
    {
        auto ready = queued;
        std::erase_if(ready, [](const auto& request) { return !request.ready; });
        std::sort(ready.begin(), ready.end(), [](const auto& a, const auto& b) {
            return std::tuple(a.rank, a.deadline, a.exchange) < std::tuple(b.rank, b.deadline, b.exchange);
        });
        choice chosen;
        for (const auto& request : ready) {
            if (chosen.started.size() >= free())
                break;
            (request.latest_start < now ? chosen.past_latest_start : chosen.started)
                .push_back(request.exchange.value);
        }
        return chosen;
    }
};

} // namespace knapweed::differential
