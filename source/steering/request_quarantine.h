#pragma once

#include "steering/crash_attribution.h"
#include "steering/server_end_monitor.h"

#include <functional>
#include <unordered_map>

namespace knapweed::steering {

/** What an instance believes of a request under which servers ended. */
enum class crash_suspicion {
    suspected,   ///< a server ended under a run that began after an end; it is not retried
    quarantined, ///< it is refused
    answered,    ///< a server answered it: it is not at fault
    released,    ///< an operator released it
    expired      ///< no server has ended under it for long
};

/** A change of what the instance believes of a request, for the log. */
struct crash_suspicion_change {
    core::fingerprint request;
    crash_suspicion suspicion = crash_suspicion::suspected;
    std::vector<server_end> ends;
};

/** Refuses requests that end the servers that run them.

    Such a request comes again, at any instance and each time with a new id; its fingerprints stay the same.
    Each instance reports the servers that ended under its requests to all others, and the answers that clear
    a request. All instances add up the same reports. A request under which a third server has ended is
    refused by all of them, as long as none has answered it, unless what else ended and ran beside it speaks
    for another cause (`crash_attribution`). Without any ended server, no request is hashed.

    `decision::crash_guard`, which does this for `knapweedd`, has the suspects run alone on a server, which
    needs an owner of the server's slots; nothing owns them here.

    Owned by the steerer.
*/
class request_quarantine {
public:
    using change_hook = std::function<void(const crash_suspicion_change&)>;
    using end_hook = std::function<void(const confirmed_end&)>;

    /** @param time must outlive this object. */
    explicit request_quarantine(const core::clock& time) : time_(time), server_ends_(time) {}

    [[nodiscard]] server_end_monitor& server_ends() noexcept { return server_ends_; }
    /** Calls @p hook with each change of what the instance believes of a request. */
    void on_change(change_hook hook) { on_change_ = std::move(hook); }
    /** Calls @p hook with each server that ended while requests of this instance were in progress there. */
    void on_server_end(end_hook hook) { on_server_end_ = std::move(hook); }

    /** @returns whether a new request must be refused. Sets the fingerprints in the plan if a server has
     * ended under a request with the same target. */
    [[nodiscard]] bool refuses(request_plan& plan) const;
    /** Records that the connection of the latest attempt was lost before an answer. @param sent when the
     * attempt began. @returns whether the request is suspected, and must not be sent again. */
    [[nodiscard]] bool record_loss(request_plan& plan, const server_pointer& server, core::time_point sent);
    /** Records that a server answered the request. */
    void record_answer(const request_plan& plan);

    /** Applies the reports of another instance. @param forwards others wait for this instance to pass on what
     * is new in them. */
    void receive(const std::vector<crash_report>& reports, bool forwards);
    /** @returns the reports for the next message to other instances: on quarantined requests, and on those
     * with the latest changes. */
    [[nodiscard]] std::vector<crash_report> reports() const;
    /** Clears a request on behalf of an operator. */
    void release(core::fingerprint request);
    /** @returns the number of requests that are quarantined, each counted with both its fingerprints. */
    [[nodiscard]] std::size_t quarantined() const;

    /** Adds the ends that are certain now, and forgets old evidence; call it about every 100 ms.
        @returns whether this instance has learned something that the others don't know. */
    [[nodiscard]] bool tick(link_state links);

private:
    struct entry {
        crash_evidence evidence;
        core::time_point changed;
        bool is_quarantined = false;

        [[nodiscard]] std::optional<crash_suspicion> suspicion() const;
    };
    using entries = std::unordered_map<core::fingerprint, entry>;

    entry& find_or_add(core::fingerprint request);
    void erase(entries::iterator found);
    /** @returns whether the end was not known. */
    bool add_end(core::fingerprint request, const server_end& end);
    /** Adds the ends of a report. @returns whether any was not known. */
    bool add_ends(const crash_report& report);
    /** Removes the ends up to a time. @returns whether there were any. */
    bool clear(core::fingerprint request, core::time_point when, crash_suspicion cause);
    /** Quarantines the requests that are the cause of ends, if the evidence against any has changed. */
    void attribute_ends();
    void forget_old_entries();
    void notify(core::fingerprint request, const crash_evidence& evidence, crash_suspicion suspicion) const;
    /** @returns the evidence against a request, with the losses that are not confirmed yet. */
    [[nodiscard]] crash_evidence evidence_with_losses(core::fingerprint request) const;

    const core::clock& time_;
    server_end_monitor server_ends_;
    ended_processes ended_processes_;
    entries entries_;
    std::unordered_map<std::uint32_t, unsigned> targets_; ///< entries by the hash of their target
    change_hook on_change_;
    end_hook on_server_end_;
    bool has_news_ = false;
    bool evidence_changed_ = false; ///< since the ends were attributed
};

} // namespace knapweed::steering

namespace knapweed::core {

template <>
struct names_of<steering::crash_suspicion> {
    static constexpr std::array<std::string_view, 5> table{"suspected", "quarantined", "answered", "released",
                                                           "expired"};
};

} // namespace knapweed::core
