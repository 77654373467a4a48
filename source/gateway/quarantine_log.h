#pragma once

#include "gateway/event_log.h"
#include "steering/request_quarantine.h"

namespace knapweed::gateway {

/** Logs each server that ended under requests of this instance, and each change of what the instance believes
    of such a request. @param quarantine is given hooks that use @p log, which must outlive it. */
void log_quarantine(steering::request_quarantine& quarantine, event_log& log);

} // namespace knapweed::gateway
