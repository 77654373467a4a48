#pragma once

#include "decision/ledger_effects.h"
#include "decision/request_identity.h"
#include "decision/ticket.h"

#include <deque>
#include <unordered_map>

namespace knapweed::decision {

struct seal_options {
    core::instance_id instance;
    core::incarnation incarnation;
    core::milliseconds timeout{250}; ///< for the reply of the witness
    std::size_t max_pending = 10000; ///< limit for pending requests, and likewise for waiting exchanges
};

/** Finds the outcome of a request whose owner can't be reached or has restarted (docs/design.md 4.1, rule 4).

    It asks the witness to seal the request, so that the owner can't start it any more, and answers the
    exchange from the reply.

    Use: call `start` when the relay to the owner failed in any way (not sent, broken, timed out, truncated
    before anything was passed on) or after `admission::owner_restarted`; pass `seal_reply` messages to
    `reply_received`; call `expire` on each tick. Each exchange gets one answer: refused with `owner_lost`,
    unknown, or the answer that the owner sent to the witness. Sealing is safe while the owner is alive, so a
    suspected failure of the owner is reason enough.
*/
class seal_client {
public:
    /** @param time must outlive this object. */
    seal_client(seal_options options, const core::clock& time);

    /** Sends a seal to the witness, unless one for the same request is pending.
        @param parsed_ticket the ticket of the request */
    void start(const request_meta& request, const ticket& parsed_ticket, core::exchange_id exchange,
               ledger_effects& effects);

    /** Answers the exchanges that wait for the reply.
        @param from sender of the reply */
    void reply_received(const wire::instance_ref& from, const wire::seal_reply& reply,
                        ledger_effects& effects);

    /** Drops the exchange. The seal itself stays pending. */
    void exchange_closed(core::exchange_id exchange);

    /** Answers the exchanges whose witness did not reply in time with `witness_lost`. */
    void expire(ledger_effects& effects);

    /** @returns the number of requests whose seal has no reply yet. */
    [[nodiscard]] std::size_t pending() const noexcept { return pending_.size(); }

private:
    struct pending_seal {
        core::instance_id witness;
        core::incarnation witness_incarnation;
        core::time_point deadline;
        std::vector<core::exchange_id> waiting;
    };
    using pending_map = std::unordered_map<sealed_request, pending_seal, sealed_request_hash>;

    void remove(pending_map::iterator entry);

    seal_options options_;
    const core::clock& time_;
    pending_map pending_;
    std::unordered_map<core::exchange_id, sealed_request> by_exchange_;
    std::deque<std::pair<core::time_point, sealed_request>> deadlines_;
};

} // namespace knapweed::decision
