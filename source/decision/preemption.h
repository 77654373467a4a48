#pragma once

#include "decision/pool_settings.h"
#include "decision/server_set.h"
#include "decision/slot_time.h"

namespace knapweed::decision {

/** Chooses bulk runs to cancel, the latest started first, one for each urgent request that waits for a slot.

    Only idempotent runs are chosen, and only while the share of wasted slot time in the window of @p used,
   with the cancelled runs added, stays below `preemption_settings::waste_limit`.

    @param used slot time of all ranks over a sliding window.
    @param waiting_urgent number of urgent requests that could start now if slots were free.
    @returns the exchanges to cancel; their runs are marked in @p servers and are not chosen again.
*/
std::vector<core::exchange_id> choose_runs_to_preempt(server_set& servers, const slot_time& used,
                                                      const preemption_settings& settings,
                                                      std::size_t waiting_urgent, core::time_point now);

} // namespace knapweed::decision
