#pragma once

#include "core/core.h"

namespace knapweed::steering {

/** Retry time stated while a service has no usable server. */
inline constexpr core::milliseconds retry_after_without_servers{300};

/** Retry time stated when another instance can serve the request at once. */
inline constexpr core::milliseconds retry_after_at_other_instance{10};

/** @returns the time after which the caller of a refused request should retry.
    @param wait expected until a server can run the request. @param time_left until the answer is due.
    @param random vary the result, so that callers do not all retry at once. */
[[nodiscard]] core::duration retry_time(core::duration wait, core::duration time_left,
                                        core::random_source& random);

} // namespace knapweed::steering
