#pragma once

#include "state/platform.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <vector>

namespace knapweed::state {

/** Order in which waiting calls are sent. */
enum class call_priority {
    change, ///< of an operator; sent first
    normal,
    poll ///< sent last
};

struct platform_client_options {
    core::milliseconds timeout{1000};         ///< of one call, from the time it is sent
    core::milliseconds waiting_timeout{1000}; ///< a call that waits longer completes as `unreachable`
    std::size_t calls_in_flight = 4;
    std::size_t waiting_calls = 64; ///< maximum for each priority
    double reads_per_second = 10;
    double writes_per_second = 5;
    double burst = 4; ///< reads, and as many writes, that may be sent at once after an idle period
    core::milliseconds first_back_off{200};
    core::milliseconds longest_back_off{10000};
};

/** Schedules the calls to the platform: it tracks deadlines, order, rate limits and back-off.

    `submit` queues an operation. Call `tick` for the calls to send now; it also expires overdue calls. Pass
    each reply to `replied`. Every accepted operation completes exactly once, inside `tick` or `replied`; a
    completion may submit again. A reply that arrives after its deadline is ignored, because its call has
    already completed as `timed_out`.

    After `unreachable` or `timed_out` no calls are sent during a back-off, which doubles with each failure
    and has a jitter so that the instances do not all resume at the same time. After the back-off one call at
    a time is sent until one is answered.

    Objects whose member functions are called by a completion must live as long as this object.
*/
class platform_client {
public:
    using completion = std::function<void(const platform_reply&)>;

    /** @param time must outlive this object. */
    platform_client(platform_client_options options, const core::clock& time, std::uint64_t seed);

    /** Queues an operation.
        @returns false when the waiting list of its priority is full; the completion is then never called. */
    [[nodiscard]] bool submit(platform_operation operation, completion done,
                              call_priority priority = call_priority::normal);

    /** Completes the call that the reply belongs to. */
    void replied(const platform_reply& reply);

    /** Appends the calls to send now and expires overdue calls. Call it at least every 10 ms. */
    void tick(std::vector<platform_call>& calls);

    /** @returns whether no call has failed since one was last answered. */
    [[nodiscard]] bool is_reachable() const { return failures_ == 0; }
    [[nodiscard]] std::size_t in_flight() const { return in_flight_.size(); }
    [[nodiscard]] std::size_t waiting() const;

private:
    struct waiting_call {
        platform_operation operation;
        completion done;
        core::time_point deadline;
    };
    struct call_in_flight {
        completion done;
        core::time_point sent;
        core::time_point deadline;
    };
    struct token_bucket {
        double tokens = 0;
        double per_second = 0;
    };
    using waiting_list = std::deque<waiting_call>;

    void expire_in_flight();
    void expire_waiting();
    void refill();
    void send_from(waiting_list& list, std::size_t limit, std::vector<platform_call>& calls);
    void update_back_off(platform_status status, core::time_point sent);
    [[nodiscard]] token_bucket& bucket_of(const platform_operation& operation);

    platform_client_options options_;
    const core::clock& time_;
    core::random_source random_;
    std::uint64_t next_call_ = 1;
    std::array<waiting_list, 3> waiting_; ///< by priority
    std::map<core::call_id, call_in_flight> in_flight_;
    token_bucket reads_;
    token_bucket writes_;
    core::time_point refilled_;
    unsigned failures_ = 0;
    core::time_point last_failure_{};
    core::time_point back_off_until_{};
};

} // namespace knapweed::state
