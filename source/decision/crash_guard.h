#pragma once

#include "core/core.h"
#include "decision/pool_request.h"
#include "peer.pb.h"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace knapweed::decision {

struct crash_guard_options {
    core::milliseconds suspect_lifetime{600000};
    core::milliseconds quarantine_lifetime{600000};
    unsigned deaths_to_quarantine = 2; ///< deaths of servers that ran only the suspect
    std::size_t capacity = 4096; ///< limit of each table: suspects, quarantined fingerprints, lifted ones
};

/** Detects requests that crash backend servers, by their fingerprint, and quarantines them.

    Requests that were running on a server when it died become suspects, and each suspect runs alone on a
    server from then on. A harmless request that only shared the server is removed from the suspects when it
    first succeeds. A suspect is quarantined after repeated deaths of servers that ran nothing else. Each
    table is bounded; a full one drops the entry that would expire first.
*/
class crash_guard {
public:
    /** @param time must outlive this object. */
    explicit crash_guard(const core::clock& time, crash_guard_options options = {});

    /** @returns whether requests with the fingerprint must run alone on a server. */
    [[nodiscard]] bool is_suspect(core::fingerprint fingerprint) const;
    /** @returns whether requests with the fingerprint are refused. */
    [[nodiscard]] bool is_quarantined(core::fingerprint fingerprint) const;

    /** Updates the suspects after the death of a server.
        @returns a notice to send to all peers when a fingerprint was quarantined because of this death */
    std::optional<wire::quarantine_notice> server_died(const server_death& death);

    /** Removes the fingerprint from the suspects, because a run with it was answered. */
    void succeeded(core::fingerprint fingerprint);

    /** Applies a quarantine, or the lifting of one, that a peer reports.
        @returns whether the fingerprint is now quarantined because of the notice */
    bool receive(const wire::quarantine_notice& notice);

    /** Lifts a quarantine on behalf of an operator.
        @returns the notice to send to all peers, or nothing when the fingerprint is not quarantined */
    std::optional<wire::quarantine_notice> release(core::fingerprint fingerprint);

    /** @returns the quarantines in force, for a peer that has just started. */
    [[nodiscard]] std::vector<wire::quarantine_notice> notices() const;

    /** Drops expired entries. */
    void tick();

    /** @returns the number of suspects. */
    [[nodiscard]] std::size_t suspects() const { return suspects_.size(); }

private:
    struct suspect {
        core::time_point expires;
        unsigned deaths = 0;
    };
    struct quarantine_entry {
        core::time_point expires;
        std::uint64_t expires_unix_ms = 0; ///< identifies the quarantine across instances
    };
    template <typename Value>
    using table = std::unordered_map<core::fingerprint, Value>;

    template <typename Value>
    Value& insert(table<Value>& entries, core::fingerprint fingerprint);

    const core::clock& time_;
    crash_guard_options options_;
    table<suspect> suspects_;
    table<quarantine_entry> quarantined_;
    table<quarantine_entry> lifted_; ///< lifted quarantines, whose late notices are ignored
};

} // namespace knapweed::decision
