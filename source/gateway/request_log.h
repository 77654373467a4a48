#pragma once

#include "gateway/json_line.h"
#include "steering/request_plan.h"

namespace knapweed::gateway {

/** Adds to a log line what was decided for a request and on what grounds, with all attempts.
    @param taken since the request arrived. */
void add_plan(json_line& line, const steering::request_plan& plan, core::duration taken);

} // namespace knapweed::gateway
