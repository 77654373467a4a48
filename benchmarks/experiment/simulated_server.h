#pragma once

#include "experiment/deployment.h"

#include <deque>
#include <functional>
#include <unordered_map>

namespace knapweed::experiment {

/** A backend server of the model: slots, a queue, and a cache of the objects of its last requests. */
class simulated_server {
public:
    /** @param service must outlive this object. */
    explicit simulated_server(const service_shape& service) : service_(service) {}

    [[nodiscard]] bool is_full() const
    {
        return running_ >= service_.slots && waiting_.size() >= service_.queue;
    }
    [[nodiscard]] unsigned running() const noexcept { return running_; }
    [[nodiscard]] std::size_t waiting() const noexcept { return waiting_.size(); }

    /** Calls @p start now, or when a slot becomes free. It calls `begin_run` unless its caller has given up.
     */
    void enter(std::function<void()> start)
    {
        if (running_ >= service_.slots)
            waiting_.push_back(std::move(start));
        else
            start();
    }

    /** Occupies a slot. @returns the mean run time of a request for the object, which is cached from now on.
     */
    [[nodiscard]] core::milliseconds begin_run(std::uint64_t object)
    {
        ++running_;
        const bool cached = cached_counts_[object] > 0;
        ++cached_counts_[object];
        cached_.push_back(object);
        if (cached_.size() > service_.cached_requests) {
            --cached_counts_[cached_.front()];
            cached_.pop_front();
        }
        return cached ? service_.cached_run_time : service_.fetch_run_time;
    }

    /** Frees a slot and starts the next request of the queue that still occupies one. */
    void end_run()
    {
        --running_;
        while (!waiting_.empty() && running_ < service_.slots) {
            const auto next = std::move(waiting_.front());
            waiting_.pop_front();
            next();
        }
    }

private:
    const service_shape& service_;
    unsigned running_ = 0;
    std::deque<std::function<void()>> waiting_;
    std::deque<std::uint64_t> cached_; ///< objects by request, latest last
    std::unordered_map<std::uint64_t, unsigned> cached_counts_;
};

} // namespace knapweed::experiment
