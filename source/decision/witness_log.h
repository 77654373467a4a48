#pragma once

#include "decision/kept_answers.h"
#include "decision/monotonic_wall_clock.h"
#include "decision/request_identity.h"
#include "decision/ticket.h"

#include <unordered_map>
#include <vector>

namespace knapweed::decision {

struct witness_options {
    core::instance_id instance;
    core::incarnation incarnation;
    core::milliseconds ticket_lifetime{600000};
    core::milliseconds clock_tolerance{60000}; ///< how far an issuer's clock may be ahead
    core::milliseconds retention{600000};      ///< time for which a record is kept after its ticket expires
    std::size_t max_records = 200000;
    std::size_t kept_answer_bytes = std::size_t{16} << 20U; ///< total size of all kept answers
};

/** The records of this instance as the witness of requests that other instances own (docs/design.md 4.1).

    A record holds either an intent, after which the request may run, or a seal, after which it never runs.
    Whichever arrives first is final. Records are kept until the ticket's expiry plus the retention, on a
    clock that never goes back. New intents are recorded, and "not run" is answered without a record, only
    before the expiry, so dropping an expired record can't lead to a wrong reply.

    Use: pass each `intent`, `seal` and `request_outcome` message to this class and send the returned reply to
    the sender (locally when the sender is this instance); call `expire` on each tick.
*/
class witness_log {
public:
    /** @param time must outlive this object. */
    witness_log(witness_options options, const core::clock& time);
    witness_log(const witness_log&) = delete;
    witness_log& operator=(const witness_log&) = delete;
    ~witness_log() = default;

    /** Records the intent of an owner to run a request.
        @param from sender of the message, which must be the owner that the ticket names
        @returns an `intent_ack` message */
    [[nodiscard]] wire::peer_message intent_received(const wire::instance_ref& from,
                                                     const wire::intent& intent);

    /** Seals a request unless it has an intent already.
        @returns a `seal_reply` message */
    [[nodiscard]] wire::peer_message seal_received(const wire::seal& seal);

    /** Records the final outcome of a request.
        @param from sender of the message, which must be the owner that the ticket names */
    void outcome_received(const wire::instance_ref& from, const wire::request_outcome& outcome);

    /** Drops the records whose retention has passed. */
    void expire();

    [[nodiscard]] std::size_t size() const noexcept { return records_.size(); }

private:
    enum class state {
        intended, ///< the request may run
        sealed,   ///< the request never runs
        done      ///< the request ran and its answer arrived
    };
    struct record {
        state current_state = state::intended;
        std::uint64_t body_hash = 0;
    };
    using record_map = std::unordered_map<request_identity, record, request_identity_hash>;
    struct drop_entry {
        unix_time drop_time;
        /** Points to the key in `records_`; valid until the record is erased. */
        const request_identity* id = nullptr;
    };
    /** Orders the heap of scheduled drops by time, the earliest first. */
    struct drops_later {
        bool operator()(const drop_entry& a, const drop_entry& b) const { return a.drop_time > b.drop_time; }
    };

    [[nodiscard]] wire::intent_verdict record_intent(const wire::instance_ref& from,
                                                     const wire::intent& intent);
    [[nodiscard]] wire::seal_verdict record_seal(const sealed_request& request,
                                                 std::uint64_t witness_incarnation);
    /** @returns the parsed ticket of a request when it names this incarnation as the witness. */
    [[nodiscard]] std::optional<ticket> matching_ticket(const request_identity& id,
                                                        std::uint64_t incarnation) const;
    /** @returns whether there is space for a record and the ticket's expiry is within the limit. */
    [[nodiscard]] bool can_add(const ticket& parsed_ticket) const;
    [[nodiscard]] bool is_unexpired(const ticket& parsed_ticket) const;
    void add(const request_identity& id, const ticket& parsed_ticket, record entry);
    [[nodiscard]] wire::peer_message new_message() const;

    witness_options options_;
    monotonic_wall_clock clock_;
    record_map records_;
    std::vector<drop_entry> scheduled_drops_; ///< heap, earliest first
    kept_answers<request_identity, request_identity_hash> answers_;
};

} // namespace knapweed::decision
