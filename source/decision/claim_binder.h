#pragma once

#include "decision/ledger_effects.h"
#include "state/platform.h"

#include <functional>
#include <unordered_map>

namespace knapweed::decision {

/** Limits of `claim_binder`. */
struct claim_options {
    core::milliseconds call_timeout{1000};
    core::milliseconds time_limit{3000}; ///< for one claim; the request's deadline applies when it is earlier
    unsigned max_calls = 4;              ///< platform calls for one claim
    std::size_t max_pending = 1000;      ///< claims in progress
};

/** A request that is now bound to a ticket: pass it to `request_ledger::admit`. */
struct bound_claim {
    core::exchange_id exchange;
    request_meta request; ///< with its ticket, and the remaining time as `timeout`
};

/** What the node must do after a call to `claim_binder`. */
struct claim_effects {
    std::vector<state::platform_call> calls;
    std::vector<bound_claim> bound;
    std::vector<exchange_answer> answers;
};

/** Binds a non-idempotent request that has an idempotency key but no ticket to a ticket (section 4.1 of
    docs/design.md, rule 8).

    The first row that is inserted for a caller and key in the platform's table `claims` holds the ticket that
    all attempts use, whichever instance they reach. When the reply to the insert is lost, the row is read to
    find out which ticket was stored. That ticket may name another owner; `request_ledger::admit` then returns
    `owned_elsewhere`.

    Use: call `start` after `admission::needs_claim`, with a ticket like those of look-up answers; pass
    platform replies to `replied`; call `expire` on each tick. This class does no back-off: whoever submits
    the calls must delay them.

    A refusal with `claim_unavailable` states only that this attempt was not run: without the table it is not
    known whether an earlier attempt with the same key was run. It must not carry a fresh ticket, because a
    fresh ticket makes the retry a new request. A retry with the same key and no ticket is safe.
*/
class claim_binder {
public:
    /** @param time must outlive this object.
        @param next_call_id returns a new identifier for each platform call */
    claim_binder(claim_options options, const core::clock& time, std::function<core::call_id()> next_call_id);

    /** Starts to bind a request.
        @param proposed_ticket text of the ticket to use when no attempt with the key has been bound yet */
    void start(const request_meta& request, std::string proposed_ticket, core::exchange_id exchange,
               claim_effects& effects);

    /** Handles the reply to a platform call.
        @returns whether the reply belongs to a claim */
    bool replied(const state::platform_reply& reply, claim_effects& effects);

    /** Drops the claim of an exchange that has closed. */
    void exchange_closed(core::exchange_id exchange);

    /** Refuses the claims that have exceeded their time limit. */
    void expire(claim_effects& effects);

    /** @returns the number of claims in progress. */
    [[nodiscard]] std::size_t pending() const noexcept { return pending_.size(); }

    /** @returns the key of a request's row in table `claims`, which is safe in a URL path. */
    [[nodiscard]] static std::string row_key(const core::caller_id& caller, const std::string& key);

private:
    /** An attempt to bind one request. */
    struct claim {
        core::exchange_id exchange;
        request_meta request;
        std::string proposed_ticket;
        core::time_point request_deadline;
        core::time_point deadline;
        unsigned calls = 0;
        bool reading_row = false; ///< the pending call reads the row; otherwise it inserts the row
    };

    void insert_row(claim entry, claim_effects& effects);
    void read_row(claim entry, claim_effects& effects);
    void call(claim entry, state::platform_operation operation, claim_effects& effects);
    void handle_insert_reply(claim entry, state::platform_status status, claim_effects& effects);
    void handle_read_reply(claim entry, const state::platform_reply& reply, claim_effects& effects);
    void bind_to_row(claim entry, const std::string& value, claim_effects& effects) const;
    void bind(claim entry, std::string ticket_text, claim_effects& effects) const;

    claim_options options_;
    const core::clock& time_;
    std::function<core::call_id()> next_call_id_;
    std::unordered_map<core::call_id, claim> pending_;
};

} // namespace knapweed::decision
