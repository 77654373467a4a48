#include "state/platform_client.h"

#include <algorithm>

namespace knapweed::state {

platform_client::platform_client(platform_client_options options, const core::clock& time, std::uint64_t seed)
    : options_(options), time_(time),
      random_(seed), reads_{options.burst, options.reads_per_second}, writes_{options.burst,
                                                                              options.writes_per_second},
      refilled_(time.now())
{}

bool platform_client::submit(platform_operation operation, completion done, call_priority priority)
{
    auto& list = waiting_.at(static_cast<std::size_t>(priority));
    if (list.size() >= options_.waiting_calls)
        return false;
    list.push_back({std::move(operation), std::move(done), time_.now() + options_.waiting_timeout});
    return true;
}

void platform_client::replied(const platform_reply& reply)
{
    const auto found = in_flight_.find(reply.call);
    if (found == in_flight_.end())
        return;
    const auto call = std::move(found->second);
    in_flight_.erase(found);
    update_back_off(reply.status, call.sent);
    call.done(reply);
}

void platform_client::tick(std::vector<platform_call>& calls)
{
    expire_in_flight();
    expire_waiting();
    refill();
    if (time_.now() < back_off_until_)
        return;
    const std::size_t limit = failures_ > 0 ? 1 : options_.calls_in_flight;
    // One call is reserved for changes, so that polls that wait for their timeout do not delay an operator.
    const std::size_t limit_below_change = limit > 1 ? limit - 1 : limit;
    send_from(waiting_[0], limit, calls);
    send_from(waiting_[1], limit_below_change, calls);
    send_from(waiting_[2], limit_below_change, calls);
}

std::size_t platform_client::waiting() const
{
    return waiting_[0].size() + waiting_[1].size() + waiting_[2].size();
}

void platform_client::expire_in_flight()
{
    const auto now = time_.now();
    std::vector<core::call_id> expired;
    for (const auto& [id, call] : in_flight_) {
        if (call.deadline <= now)
            expired.push_back(id);
    }
    for (const auto id : expired) {
        platform_reply reply;
        reply.call = id;
        replied(reply);
    }
}

void platform_client::expire_waiting()
{
    const auto now = time_.now();
    std::vector<waiting_call> expired;
    for (auto& list : waiting_) {
        while (!list.empty() && list.front().deadline <= now) {
            expired.push_back(std::move(list.front()));
            list.pop_front();
        }
    }
    platform_reply reply;
    reply.status = platform_status::unreachable;
    for (const auto& call : expired)
        call.done(reply);
}

void platform_client::refill()
{
    const auto now = time_.now();
    const double seconds = std::chrono::duration<double>(now - refilled_).count();
    refilled_ = now;
    for (auto* bucket : {&reads_, &writes_})
        bucket->tokens = std::min(options_.burst, bucket->tokens + seconds * bucket->per_second);
}

void platform_client::send_from(waiting_list& list, std::size_t limit, std::vector<platform_call>& calls)
{
    const auto now = time_.now();
    for (auto call = list.begin(); call != list.end() && in_flight_.size() < limit;) {
        auto& bucket = bucket_of(call->operation);
        if (bucket.tokens < 1) {
            ++call;
            continue;
        }
        bucket.tokens -= 1;
        const core::call_id id{next_call_++};
        in_flight_[id] = {std::move(call->done), now, now + options_.timeout};
        calls.push_back({id, options_.timeout, std::move(call->operation)});
        call = list.erase(call);
    }
}

void platform_client::update_back_off(platform_status status, core::time_point sent)
{
    if (status != platform_status::unreachable && status != platform_status::timed_out) {
        failures_ = 0;
        back_off_until_ = {};
        return;
    }
    // Calls that were in flight at the same time fail together and count as one failure.
    if (failures_ > 0 && sent <= last_failure_)
        return;
    constexpr unsigned max_doublings = 16;
    const auto unbounded = options_.first_back_off * (1U << std::min(failures_, max_doublings));
    const auto back_off = std::min<core::milliseconds>(unbounded, options_.longest_back_off);
    ++failures_;
    last_failure_ = time_.now();
    const double jitter = 0.5 + random_.fraction() / 2;
    back_off_until_ = last_failure_ + std::chrono::duration_cast<core::duration>(back_off * jitter);
}

platform_client::token_bucket& platform_client::bucket_of(const platform_operation& operation)
{
    const bool writes =
        std::holds_alternative<row_transaction>(operation) || std::holds_alternative<object_write>(operation);
    return writes ? writes_ : reads_;
}

} // namespace knapweed::state
