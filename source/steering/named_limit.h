#pragma once

#include "core/core.h"

#include <optional>

namespace knapweed::steering {

/** The rate limit that an overloaded backend server names in its answers: the requests per second that it
    accepts from all instances together. Spaces this instance's requests within its share of it.

    The limit is in force as long as the answers name it. An instance that sends the server little or nothing
    learns of it, and of its end, from the others. The latest statement counts.
*/
class named_limit {
public:
    /** @param time must outlive this object. */
    explicit named_limit(const core::clock& time) : time_(time) {}

    /** Records what an answer of the server states. @param per_second nothing when it names no limit.
        @returns whether the limit has changed. */
    bool heard(std::optional<double> per_second);
    /** Records what another instance has heard. @param when the server stated it, at the latest.
        @returns whether the limit has changed. */
    bool told(std::optional<double> per_second, core::time_point when);

    /** @returns the limit in force, in requests per second, or nothing. */
    [[nodiscard]] std::optional<double> per_second() const noexcept { return per_second_; }
    /** @returns the age of the latest statement, or nothing when the server never named a limit. */
    [[nodiscard]] std::optional<core::duration> age() const;
    /** @returns whether the latest statement came from the server itself. */
    [[nodiscard]] bool is_first_hand() const noexcept { return first_hand_; }

    /** @param share requests per second that this instance may send. @param yields the request leaves half of
        the time between two requests to more urgent ones.
        @returns the time until the request may be sent, 0 for now. */
    [[nodiscard]] core::duration wait(double share, bool yields) const;
    void request_sent(double share);
    /** @returns the largest number of requests that an instance with a share sends in some span of time. */
    [[nodiscard]] static double max_requests(double share, double seconds);

private:
    bool set(std::optional<double> per_second, core::time_point when, bool first_hand);

    const core::clock& time_;
    std::optional<double> per_second_;
    std::optional<core::time_point> stated_at_; ///< time of the latest statement, once a limit was named
    bool first_hand_ = false;
    core::time_point next_send_{};
};

} // namespace knapweed::steering
