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

/** Processes each request at the instance that receives it, from admission to the final answer.

    A request is admitted by the ledger, bound to a ticket where needed, relayed to its owner or attempted at
    one pool after another, and answered. A request that is not idempotent goes through the ledger, which
    records a refusal as final before the caller receives it. An idempotent request needs no record and is run
    by whichever instance receives it.

    `entry_node` calls this class. The pools of this instance report the start and the end of a run through
    `run_starting` and `run_ended`.
*/
class request_flow {
public:
    /** All parameters must outlive this object. */
    request_flow(node_context& shared, router& routes, crash_guard& guard, state::platform_client& platform);

    /** Sets the pools of this instance. Must be called once, before any other function.
        @param pools must outlive this object */
    void set_pools(pool_registry& pools) { pools_ = &pools; }

    /** Starts a request that came from a caller or as `hop::request_owner`. */
    void request_received(const request_received& input);
    /** Cancels the exchange, whose connection has closed. A request that was already dispatched to its pool
        or relayed to its owner goes on when it isn't idempotent. */
    void exchange_closed(core::exchange_id exchange);
    /** Handles the end of a relay to a request's owner or a pool's owner.
        @returns false when the dispatch is not a relay of this object */
    bool dispatch_finished(core::dispatch_id dispatch, const dispatch_result& result);
    /** Handles a message to the ledger, the witness log or the seal client.
        @returns false when the message does not concern requests */
    bool message_received(const wire::peer_message& message);
    /** Handles timeouts and drops expired records. */
    void tick();

    /** Sends the kept answers to the witnesses, so that retries get them after this instance has exited. */
    void send_answers_to_witnesses();

    /** Must be called just before a pool of this instance sends the request to a backend server. */
    void run_starting(core::exchange_id exchange);
    /** Handles the end of an attempt at a pool of this instance. */
    void run_ended(core::exchange_id exchange, const run_outcome& outcome);

    /** @returns a new ticket for a look-up that names the endpoints. @see ticket_issuer::issue_for */
    [[nodiscard]] std::string fresh_ticket(const std::vector<endpoint>& endpoints);
    /** @returns the number of exchanges without a final answer. */
    [[nodiscard]] std::size_t in_progress() const { return open_requests_.size(); }
    [[nodiscard]] const request_ledger& ledger() const { return ledger_; }
    [[nodiscard]] const witness_log& witness_records() const { return witness_log_; }

    static constexpr unsigned max_attempts = 4; ///< of one request, over all pools

private:
    /** An attempt at a pool that another instance owns. */
    struct remote_attempt {
        pool_choice choice;
        std::optional<core::dispatch_id> dispatch; ///< empty until the witness has acknowledged the intent
    };
    /** A request whose exchange has no final answer yet. */
    struct open_request {
        request_meta meta;
        hop from = hop::caller;
        core::time_point deadline;
        std::optional<record_id> record;
        std::optional<remote_attempt> remote;
        std::set<core::pool_id> excluded_pools;
        std::optional<core::refusal_reason> last_refusal;
        /** Set when an earlier attempt may have run: why its outcome is unknown. */
        std::optional<core::unknown_reason> lost_reason;
        unsigned attempts = 0;
        bool dispatched = false; ///< the current attempt was sent, and recorded as dispatched in the ledger
        bool closed = false;     ///< the caller's connection has closed
        bool relayed = false;    ///< a relay to the request's owner is in progress; its end ends the exchange
    };
    /** A relay of the request to the owner that its ticket names. */
    struct owner_relay {
        core::exchange_id exchange;
        ticket parsed_ticket;
    };

    void admit(core::exchange_id exchange);
    void handle_admission(core::exchange_id exchange, const admission::start& decision);
    void handle_admission(core::exchange_id exchange, const admission::wait_for_first_attempt& decision);
    void handle_admission(core::exchange_id exchange, const admission::replay& decision);
    void handle_admission(core::exchange_id exchange, const admission::refuse& decision);
    void handle_admission(core::exchange_id exchange, const admission::unknown& decision);
    void handle_admission(core::exchange_id exchange, const admission::owned_elsewhere& decision);
    void handle_admission(core::exchange_id exchange, const admission::owner_restarted& decision);
    void handle_admission(core::exchange_id exchange, const admission::unrecorded& decision);
    void handle_admission(core::exchange_id exchange, const admission::needs_claim& decision);

    /** Makes the first attempt, unless the service is unknown or the request quarantined. */
    void start_attempts(core::exchange_id exchange);
    /** Offers the request to one pool after another until one accepts it or none is left. */
    void route(core::exchange_id exchange);
    /** @returns nothing when the pool accepted the request, else the reason for its refusal. */
    [[nodiscard]] std::optional<core::refusal_reason> offer_to_local_pool(core::exchange_id exchange,
                                                                          const pool_choice& choice);
    /** Uses credit of the pool, and forwards the request once it may be dispatched. */
    void assign_remote_pool(core::exchange_id exchange, const pool_choice& choice);
    void forward_to_pool_owner(core::exchange_id exchange);
    void attempt_ended(core::exchange_id exchange, const run_outcome& outcome);
    [[nodiscard]] bool may_retry(const open_request& entry, const run_outcome& outcome);
    /** @returns whether another pool would refuse for the same reason. */
    [[nodiscard]] static bool applies_to_every_pool(core::refusal_reason reason);
    void relay_ended(const owner_relay& relay, const dispatch_result& result);
    void seal(core::exchange_id exchange, const ticket& parsed_ticket);

    void conclude_done(core::exchange_id exchange, const dispatch_result& result);
    void conclude_refused(core::exchange_id exchange, core::refusal_reason reason);
    void conclude_unknown(core::exchange_id exchange, core::unknown_reason reason);
    /** Ends an exchange after its record became final. The ledger doesn't answer an exchange that its caller
        has closed, but the network layer needs one final action for each exchange, so such an exchange is
        answered here. */
    void finish_exchange(core::exchange_id exchange, const exchange_answer& final_answer);
    void apply(const ledger_effects& effects);
    void apply(const claim_effects& effects);
    /** Removes the request from its pool after its record became final in the ledger. */
    void withdraw_settled(record_id record);
    /** Dispatches the request, or lets its pool dispatch it, because the ledger permits it now. */
    void handle_ready(record_id record);
    /** Sends a message to its instance, or handles it when that is this instance. */
    void send_or_handle(const message_to_peer& message);
    void answer(const exchange_answer& final_answer);
    /** Refuses an exchange whose caller has closed the connection, so that the network layer frees it. */
    void refuse_cancelled(core::exchange_id exchange);
    void remove(core::exchange_id exchange);
    void add_trace(const open_request& entry, trace_step step, std::string detail);

    node_context& shared_;
    router& routes_;
    crash_guard& guard_;
    state::platform_client& platform_;
    pool_registry* pools_ = nullptr;
    request_ledger ledger_;
    witness_log witness_log_;
    seal_client seals_;
    claim_binder claims_;
    retry_budget retries_;
    ticket_issuer tickets_;
    std::unordered_map<core::exchange_id, open_request> open_requests_;
    std::unordered_map<record_id, core::exchange_id> exchange_by_record_;
    std::unordered_map<core::dispatch_id, core::exchange_id> pool_relays_;
    std::unordered_map<core::dispatch_id, owner_relay> owner_relays_;
};

} // namespace knapweed::decision
