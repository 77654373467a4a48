#pragma once

#include "gateway/json_line.h"
#include "steering/request_plan.h"

namespace knapweed::gateway {

/** Adds the steering decision for a request to a log line: the route, the planned region, and for each
   attempt the chosen server, the estimates behind the choice and the outcome; and each relay through another
   instance.
    @param elapsed since the request arrived. */
void add_plan(json_line& line, const steering::request_plan& plan, core::duration elapsed);

} // namespace knapweed::gateway
