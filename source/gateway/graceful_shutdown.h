#pragma once

#include "core/core.h"

#include <optional>

namespace knapweed::gateway {

/** Decides when a stopping process stops accepting connections, which requests it still takes, and when it
    exits. A request is taken only if its time limit ends before the exit, so nothing that is taken has to be
    cut.

    This class does no I/O; the gateway asks it again as time passes.
*/
class graceful_shutdown {
public:
    /** @param time must outlive this object. */
    explicit graceful_shutdown(const core::clock& time) : time_(time) {}

    /** Begins the shutdown. Further calls have no effect: the platform counts the grace period from the first
        stop signal, with the settings of that moment. */
    void begin(core::duration grace_period);
    [[nodiscard]] bool begun() const noexcept { return began_.has_value(); }

    /** @returns whether new connections are accepted. */
    [[nodiscard]] bool accepts_connections() const;
    /** @returns the time by which each request that is taken must be answered, or nothing before the
        shutdown. */
    [[nodiscard]] std::optional<core::time_point> answers_due() const;
    /** @returns whether the process exits now. @param open requests in progress and callers' connections. */
    [[nodiscard]] bool is_complete(std::size_t open) const;

private:
    [[nodiscard]] core::time_point exit_time() const;

    const core::clock& time_;
    std::optional<core::time_point> began_;
    core::duration grace_period_{};
};

} // namespace knapweed::gateway
