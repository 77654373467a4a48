#pragma once

#include "decision/claim_binder.h"
#include "decision/crash_guard.h"
#include "decision/node_context.h"
#include "decision/pool_registry.h"
#include "decision/request_ledger.h"
#include "decision/retry_budget.h"
#include "decision/router.h"
#include "decision/run_outcome.h"
#include "decision/seal_client.h"
#include "decision/ticket_issuer.h"
#include "decision/witness_log.h"
#include "state/platform_client.h"

#include <functional>
#include <set>
#include <unordered_map>

namespace knapweed::decision {

/** The life of each request at the instance that received it: binding, owner, witness, attempts, answer.

    A request that may not be repeated goes through the ledger; its refusals are final there before the caller
    hears them. An idempotent request needs no record and is run by whichever instance receives it.

    Driven by `entry_node`; the pools of this instance report through `run_starting` and `run_ended`.
*/
class request_flow {
public:
    /** All parameters must outlive this object. */
    request_flow(node_context& shared, router& routes, crash_guard& guard, state::platform_client& platform);

    /** Must be called once before any other function. @param pools must outlive this object. */
    void attach(pool_registry& pools) { pools_ = &pools; }

    void request_received(const request_received& input);
    void exchange_closed(core::exchange_id exchange);
    /** @returns false when the dispatch is not a relay of this object. */
    bool dispatch_finished(core::dispatch_id dispatch, const dispatch_result& result);
    /** @returns false when the message does not concern requests. */
    bool message_received(const wire::peer_message& message);
    void tick();

    /** Leaves kept answers with the witnesses, before this instance exits. */
    void leave();

    void run_starting(core::exchange_id exchange);
    void run_ended(core::exchange_id exchange, const run_outcome& outcome);

    [[nodiscard]] std::string fresh_ticket(const std::vector<endpoint>& endpoints);
    /** @returns exchanges whose answer is not decided yet. */
    [[nodiscard]] std::size_t in_progress() const { return open_.size(); }
    [[nodiscard]] const request_ledger& ledger() const { return ledger_; }
    [[nodiscard]] const witness_log& witnessed() const { return witnessed_; }

    static constexpr unsigned max_attempts = 4; ///< of one request, over all pools

private:
    /** A pool that was chosen for a request, and whose owner is another instance. */
    struct remote_attempt {
        pool_choice choice;
        std::optional<core::dispatch_id> dispatch; ///< nothing while the witness has not acknowledged
    };
    struct open_request {
        request_meta meta;
        hop from = hop::caller;
        core::time_point deadline;
        std::optional<record_id> record;
        std::optional<remote_attempt> remote;
        std::set<core::pool_id> excluded;
        std::optional<core::refusal_reason> last_refusal;
        std::optional<core::unknown_reason> lost; ///< why an earlier attempt, which may have run, was lost
        unsigned attempts = 0;
        bool dispatched = false; ///< the present attempt has left; the ledger was told
        bool closed = false;     ///< the caller's connection is gone
        bool relayed = false; ///< a relay to the request's owner is under way; its end concludes the exchange
    };
    struct owner_relay {
        core::exchange_id exchange;
        ticket binding;
    };

    void admit(core::exchange_id exchange);
    void decided(core::exchange_id exchange, const admission::start& decision);
    void decided(core::exchange_id exchange, const admission::wait_for_first& decision);
    void decided(core::exchange_id exchange, const admission::replay& decision);
    void decided(core::exchange_id exchange, const admission::refuse& decision);
    void decided(core::exchange_id exchange, const admission::unknown& decision);
    void decided(core::exchange_id exchange, const admission::not_mine& decision);
    void decided(core::exchange_id exchange, const admission::owner_gone& decision);
    void decided(core::exchange_id exchange, const admission::unrecorded& decision);
    void decided(core::exchange_id exchange, const admission::needs_claim& decision);

    void begin(core::exchange_id exchange);
    void try_route(core::exchange_id exchange);
    [[nodiscard]] std::optional<core::refusal_reason> offer_locally(core::exchange_id exchange,
                                                                    const pool_choice& choice);
    void take_remote(core::exchange_id exchange, const pool_choice& choice);
    void forward(core::exchange_id exchange);
    void attempt_ended(core::exchange_id exchange, const run_outcome& outcome);
    [[nodiscard]] bool may_retry(const open_request& entry, const run_outcome& outcome);
    /** @returns whether another pool would refuse for the same reason. */
    [[nodiscard]] static bool holds_everywhere(core::refusal_reason reason);
    void relay_ended(const owner_relay& relay, const dispatch_result& result);
    void seal(core::exchange_id exchange, const ticket& binding);

    void conclude_done(core::exchange_id exchange, const dispatch_result& result);
    void conclude_refused(core::exchange_id exchange, core::refusal_reason reason);
    void conclude_unknown(core::exchange_id exchange, core::unknown_reason reason);
    /** The ledger answers no exchange that its caller has closed, but each exchange gets one final action. */
    void end_closed(core::exchange_id exchange, const exchange_answer& last);
    void apply(const ledger_effects& effects);
    void apply(const claim_effects& effects);
    void settle(record_id record);
    void become_ready(record_id record);
    void deliver(const message_to_peer& message);
    void answer(const exchange_answer& answer);
    /** Ends an exchange whose caller has gone, so that the network layer frees it. */
    void release_closed(core::exchange_id exchange);
    void forget(core::exchange_id exchange);
    void note(const open_request& entry, trace_step step, std::string detail);

    node_context& shared_;
    router& routes_;
    crash_guard& guard_;
    state::platform_client& platform_;
    pool_registry* pools_ = nullptr;
    request_ledger ledger_;
    witness_log witnessed_;
    seal_client seals_;
    claim_binder claims_;
    retry_budget retries_;
    ticket_issuer tickets_;
    std::unordered_map<core::exchange_id, open_request> open_;
    std::unordered_map<record_id, core::exchange_id> records_;
    std::unordered_map<core::dispatch_id, core::exchange_id> forwards_;
    std::unordered_map<core::dispatch_id, owner_relay> relays_;
};

} // namespace knapweed::decision
