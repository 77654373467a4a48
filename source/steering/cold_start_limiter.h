#pragma once

#include "core/core.h"

#include <optional>

namespace knapweed::steering {

/** Limits what this instance sends to a backend server while it is cold.

    All instances together must stay below what a cold server bears. Each spaces its requests so far apart
   that the sum holds without a message between them.
*/
class cold_start_limiter {
public:
    /** @param time must outlive this object. */
    explicit cold_start_limiter(const core::clock& time) : time_(time) {}

    /** The server is cold for this long from now on; a shorter time than one known already is ignored. */
    void assume_cold(core::duration left);
    /** The server itself said how long it stays cold; 0 ends the limit. */
    void set_remaining_cold_time(core::duration left);

    [[nodiscard]] bool is_cold() const { return time_.now() < cold_until_; }
    /** @param spacing least time between two requests to a cold server.
        @returns whether a request may be sent now. */
    [[nodiscard]] bool may_start(core::duration spacing) const;
    void request_started() { last_start_ = time_.now(); }

private:
    const core::clock& time_;
    core::time_point cold_until_{};
    std::optional<core::time_point> last_start_;
};

/** @param requests_per_second that a cold server bears in all.
    @returns the least time between two requests of one of @p instances to a cold server. */
[[nodiscard]] core::duration cold_start_spacing(double requests_per_second, std::size_t instances);

} // namespace knapweed::steering
