#pragma once

#include "decision/kept_answers.h"
#include "decision/ledger_effects.h"
#include "decision/monotonic_wall_clock.h"
#include "decision/request_identity.h"
#include "decision/ticket.h"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <variant>

namespace knapweed::decision {

/** Possible results of `request_ledger::admit` for an exchange. */
namespace admission {

/** First attempt: queue the request. It may be dispatched once `may_dispatch` returns true. */
struct start {
    record_id record;
};
/** The first attempt is still in progress. The ledger answers the exchange when that attempt ends. */
struct wait_for_first_attempt {
    record_id record;
};
/** The request is done and its answer was kept: send that answer. */
struct replay {
    stored_answer answer;
};
/** The request was not run and will not be run under this ticket and key. */
struct refuse {
    core::refusal_reason reason = core::refusal_reason::damaged_ticket;
};
/** The request may have run, but its outcome is not known. */
struct unknown {
    core::unknown_reason reason = core::unknown_reason::record_expired;
};
/** Another instance owns the request: relay the request there, and seal it with `seal_client` when that
    fails.

    A request that arrived as `hop::request_owner` was sent to an address that now belongs to another
    instance: it must be sealed, not relayed again.
*/
struct owned_elsewhere {
    ticket parsed_ticket;
};
/** The ticket names another incarnation of this instance: seal the request with `seal_client`. */
struct owner_restarted {
    ticket parsed_ticket;
};
/** The request is idempotent: it needs no record and runs each time it is sent. */
struct unrecorded {};
/** The request is not idempotent and has a key but no ticket: bind it to a ticket with `claim_binder`, then
    call `admit` again. */
struct needs_claim {};

using decision = std::variant<start, wait_for_first_attempt, replay, refuse, unknown, owned_elsewhere,
                              owner_restarted, unrecorded, needs_claim>;

} // namespace admission

/** Reports a request that was answered. */
struct done_outcome {
    bool kept = false; ///< `answer` holds the whole answer
    stored_answer answer;
};
/** Reports a request that was not run. Allowed only while it is not dispatched, which is before `dispatched`
    or after `returned_not_run`. */
struct refused_outcome {
    core::refusal_reason reason = core::refusal_reason::overloaded;
};
/** Reports a request that may have run. */
struct unknown_outcome {
    core::unknown_reason reason = core::unknown_reason::connection_lost;
};
/** How a request ended, as the node reports it to the ledger. */
using request_outcome = std::variant<done_outcome, refused_outcome, unknown_outcome>;

struct ledger_options {
    core::instance_id instance;
    core::incarnation incarnation;
    core::milliseconds ticket_lifetime{600000};
    core::milliseconds clock_tolerance{60000}; ///< how far an issuer's clock may be ahead
    core::milliseconds retention{600000};      ///< time for which an outcome is kept after its ticket expires
    core::milliseconds witness_timeout{250};   ///< limit for the acknowledgement of an intent
    std::size_t max_records = 200000;
    std::size_t max_waiting_per_record = 8;
    std::size_t kept_answer_bytes = std::size_t{16} << 20U; ///< total size of all kept answers
};

/** Makes sure that each non-idempotent request that this incarnation owns runs at most once.

    It keeps one record for each such request until its ticket has expired and the retention has passed. The
    protocol is described in section 4.1 of docs/design.md: before a request runs, the witness that its ticket
    names, if any, must acknowledge the intent to run it.

    Use:

    1. Call `admit` for each request that arrives from a caller or as `hop::request_owner`. After `start`,
       queue the request for a pool. The exchange of `start` is the first exchange of the record: the dispatch
       streams the answer to it.
    2. Pass `intent_ack` messages to `witness_acknowledged`. Call `expire` on each tick.
    3. Dispatch only when `may_dispatch` returns true, and call `dispatched` in the same step, before the
       request is sent. Send it once: `returned_not_run` is allowed only after `dispatch_status::not_sent` or
       `refused`.
    4. Call `finished` for each started record, except those listed in `ledger_effects::settled`. This
       includes refusals before the dispatch (queue full, expired in the queue, stopping), which must not be
       sent to the caller without it. For a refused or unknown outcome the effects contain the answer to the
       first exchange as well.
    5. Call `exchange_closed` for each exchange that closes.

    A request with a ticket must not be refused in any other way, because only the record makes a refusal
    final. Times are measured with a clock that never goes back within this incarnation.
*/
class request_ledger {
public:
    /** @param time must outlive this object. */
    request_ledger(ledger_options options, const core::clock& time);

    /** Decides how to handle an exchange, and records its request when it is new.
        @param effects receives the messages to send and the records that may be dispatched */
    [[nodiscard]] admission::decision admit(const request_meta& request, core::exchange_id exchange,
                                            ledger_effects& effects);

    /** Handles the reply of a witness to an intent: the request becomes ready or is refused.
        @param from sender of the acknowledgement */
    void witness_acknowledged(const wire::instance_ref& from, const wire::intent_ack& ack,
                              ledger_effects& effects);

    /** @returns whether the request is recorded at its witness, if it has one, and is neither dispatched nor
        final. */
    [[nodiscard]] bool may_dispatch(record_id record) const;

    /** Must be called just before the request is sent to a server or pool. Requires `may_dispatch`. */
    void dispatched(record_id record);

    /** Reports that the dispatch certainly did not run the request: it may be dispatched again. */
    void returned_not_run(record_id record);

    /** Makes the outcome final. A refusal of a request that is still marked as dispatched is recorded as
        unknown. */
    void finished(record_id record, const request_outcome& outcome, ledger_effects& effects);

    /** Removes a waiting exchange. When the first exchange closes before the dispatch, the refusal of the
        request is final. */
    void exchange_closed(core::exchange_id exchange, ledger_effects& effects);

    /** Handles witness timeouts, waiting exchanges past their deadline and records past their retention. */
    void expire(ledger_effects& effects);

    /** Sends each kept answer that its witness does not have yet. Called at a planned stop. */
    void send_answers_to_witness(ledger_effects& effects);

    /** @returns the time after which a ticket must expire to be accepted for a new request.

        A request that is refused because the table is full leaves no record, and must not run when a copy of
        it arrives later. So after such a refusal, tickets that expire no later than the refused one are
        rejected for all requests without a record.
    */
    [[nodiscard]] unix_time tickets_rejected_until() const noexcept { return tickets_rejected_until_; }

    [[nodiscard]] unix_time now() const { return clock_.now(); }
    [[nodiscard]] std::size_t size() const noexcept { return records_.size(); }
    /** @returns the number of records without a final outcome. */
    [[nodiscard]] std::size_t unfinished() const noexcept { return unfinished_; }

private:
    enum class state { waiting_for_witness, ready, dispatched, done, refused, unknown };
    struct waiting_exchange {
        core::exchange_id exchange;
        core::time_point deadline;
    };
    struct request_record {
        request_identity id; ///< holds the ticket only as text, to save memory in a large table
        std::uint64_t body_hash = 0;
        state current_state = state::waiting_for_witness;
        core::exchange_id first_exchange; ///< the exchange whose answer the dispatch streams
        std::vector<waiting_exchange> waiting;
        core::refusal_reason refusal = core::refusal_reason::overloaded;
        core::unknown_reason unknown = core::unknown_reason::connection_lost;
        bool witness_has_answer = false;
    };
    /** Its keys point to the identities in `records_`. */
    using identity_index =
        std::unordered_map<const request_identity*, record_id, pointed_identity_hash, pointed_identity_equal>;

    [[nodiscard]] static bool is_final(const request_record& entry);
    [[nodiscard]] static ticket parsed_ticket_of(const request_record& entry);
    [[nodiscard]] admission::decision admit_retry(record_id record, const request_meta& request,
                                                  core::exchange_id exchange);
    [[nodiscard]] admission::decision admit_new(request_identity id, const ticket& parsed_ticket,
                                                const request_meta& request, core::exchange_id exchange,
                                                ledger_effects& effects);
    [[nodiscard]] std::optional<admission::decision> check_new_request(const std::string& ticket_text,
                                                                       const ticket& parsed_ticket);
    [[nodiscard]] admission::decision refuse_overlong_ticket(const std::string& ticket_text,
                                                             const ticket& parsed_ticket);
    void refuse(record_id record, core::refusal_reason reason, bool notify_witness, ledger_effects& effects);
    void set_final_state(request_record& entry, state final_state);
    void answer_exchanges(record_id record, request_record& entry, bool with_first_exchange,
                          ledger_effects& effects);
    [[nodiscard]] exchange_answer answer_from(record_id record, const request_record& entry,
                                              core::exchange_id exchange) const;
    [[nodiscard]] wire::peer_message new_message() const;
    void send_intent(const request_record& entry, ledger_effects& effects) const;
    void send_not_run(const request_record& entry, ledger_effects& effects) const;
    void send_answer(request_record& entry, const stored_answer& answer, ledger_effects& effects) const;
    void expire_witness_timeouts(ledger_effects& effects);
    void expire_waiting(ledger_effects& effects);
    void expire_records();

    ledger_options options_;
    monotonic_wall_clock clock_;
    std::uint64_t next_record_ = 1;
    std::unordered_map<record_id, request_record> records_;
    identity_index by_identity_;
    std::unordered_map<core::exchange_id, record_id> by_exchange_;
    std::deque<std::pair<core::time_point, record_id>> witness_deadlines_;
    std::multimap<core::time_point, core::exchange_id> waiting_deadlines_;
    std::set<std::pair<unix_time, record_id>> retention_;
    kept_answers<record_id> answers_;
    unix_time tickets_rejected_until_{};
    /** Text and expiry of the tickets that were refused because they expire too late. */
    std::map<std::string, unix_time> overlong_tickets_;
    std::size_t unfinished_ = 0;
};

} // namespace knapweed::decision
