#pragma once

#include "gateway/event_log.h"
#include "steering/steerer.h"

namespace knapweed::gateway {

/** Logs what servers state about themselves in their answers. @param steerer is given hooks that use @p log,
    which must outlive it. */
void log_statements(steering::steerer& steerer, event_log& log);

} // namespace knapweed::gateway
