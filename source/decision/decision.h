#pragma once

/** Module decision: decides what one entry instance does with each request. It turns events into actions and
    does no I/O.

    `entry_node` combines the other classes:

    - `request_flow` processes requests from admission to the answer, with `request_ledger`, `witness_log`,
      `seal_client`, `claim_binder`, `retry_budget` and `ticket_issuer`.
    - `router` chooses pools, with `credit_table` and `link_budget`.
    - `pool_registry` manages the pools that this instance owns, with `pool` and its parts.
    - `crash_guard` quarantines requests that crash backend servers.
    - `decision_trace` records decisions for operators.
*/

#include "decision/action.h"
#include "decision/assumed_slots.h"
#include "decision/claim_binder.h"
#include "decision/crash_guard.h"
#include "decision/credit_table.h"
#include "decision/credit_windows.h"
#include "decision/decision_trace.h"
#include "decision/entry_node.h"
#include "decision/event.h"
#include "decision/kept_answers.h"
#include "decision/ledger_effects.h"
#include "decision/link_budget.h"
#include "decision/monotonic_wall_clock.h"
#include "decision/node_context.h"
#include "decision/node_options.h"
#include "decision/pool.h"
#include "decision/pool_registry.h"
#include "decision/pool_request.h"
#include "decision/pool_settings.h"
#include "decision/preemption.h"
#include "decision/rank_queues.h"
#include "decision/request.h"
#include "decision/request_flow.h"
#include "decision/request_identity.h"
#include "decision/request_ledger.h"
#include "decision/retry_budget.h"
#include "decision/router.h"
#include "decision/run_estimate.h"
#include "decision/run_outcome.h"
#include "decision/seal_client.h"
#include "decision/server_set.h"
#include "decision/server_slots.h"
#include "decision/slot_time.h"
#include "decision/ticket.h"
#include "decision/ticket_issuer.h"
#include "decision/wait_estimate.h"
#include "decision/witness_log.h"
