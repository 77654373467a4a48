#pragma once

#include "core/core.h"

#include <optional>

namespace knapweed::steering {

/** Limits the requests that this instance sends to a backend server while the server is cold.

    All instances together must stay below the request rate that a cold server can run. Each instance leaves
   so much time between its requests that the sum stays below it without messages between the instances.
*/
class cold_start_limiter {
public:
    /** @param time must outlive this object. */
    explicit cold_start_limiter(const core::clock& time) : time_(time) {}

    /** Treats the server as cold for at least @p duration from now on. */
    void assume_cold(core::duration duration);
    /** Sets how long the server stays cold, as the server reported it; 0 ends the limit. */
    void set_remaining_cold_time(core::duration remaining);

    [[nodiscard]] bool is_cold() const { return time_.now() < cold_until_; }
    /** @param spacing minimum time between two requests to a cold server.
        @returns whether a request may be sent now. */
    [[nodiscard]] bool may_start(core::duration spacing) const;
    void request_started() { last_start_ = time_.now(); }

private:
    const core::clock& time_;
    core::time_point cold_until_{};
    std::optional<core::time_point> last_start_;
};

/** @param requests_per_second that a cold server can run, from all instances together.
    @returns the minimum time between two requests of one of @p instances to a cold server. */
[[nodiscard]] core::duration cold_start_spacing(double requests_per_second, std::size_t instances);

} // namespace knapweed::steering
