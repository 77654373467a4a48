#pragma once

#include "decision/action.h"

#include <variant>
#include <vector>

namespace knapweed::decision {

/** Identifies the record of a request that this instance owns. Unique within an incarnation. */
using record_id = core::number<struct record_tag>;

/** The final answer to an exchange. `answer_refused::ticket` is empty: the node adds a fresh ticket. */
using exchange_answer = std::variant<answer_refused, answer_unknown, answer_stored>;

/** A message to another instance, whose address the node looks up. A message to this instance itself is
    handled locally. */
struct message_to_peer {
    core::instance_id instance;
    wire::peer_message message;
};

/** What the node must do after a call to `request_ledger` or `seal_client`. `request_flow` performs the
    messages first, then the settled records, the answers and the ready records. */
struct ledger_effects {
    std::vector<message_to_peer> messages;
    std::vector<exchange_answer> answers;
    std::vector<record_id> ready;   ///< records that may be dispatched from now on
    std::vector<record_id> settled; ///< records that became final without `finished`; to be unqueued
};

} // namespace knapweed::decision
