#pragma once

#include "core/core.h"

#include <optional>
#include <vector>

namespace knapweed::steering {

/** End of a server's process while a request was in progress there. */
struct server_end {
    std::uint32_t process = 0; ///< hash of the server's id and start time
    core::time_point began;    ///< when the request was sent to the server
    core::time_point ended;    ///< when its connection was lost
};

/** What an instance knows of a request under which servers ended, as it tells other instances. */
struct crash_report {
    struct reported_end {
        std::uint32_t process = 0;
        core::milliseconds began_age{0};
        core::milliseconds ended_age{0};
    };

    core::fingerprint request;
    std::vector<reported_end> ends;                 ///< since the latest answer
    std::optional<core::milliseconds> answered_age; ///< of the latest answer that cleared ends
    bool suspected = false; ///< the sender knows that a run which began after an end has ended another server
};

/** The ends of servers under one request since a server last answered it.

    A request that ends servers does so each time that it runs; one that only was at the same servers is
    answered when it runs elsewhere. Servers that end at the same moment prove nothing about a request that
   was in progress at several of them: some other cause may have ended all. So the request is suspected only
    when a run that began after an end has ended another server, and it may be the cause from the third server
    on; `crash_attribution` decides that from the evidence against all requests.
*/
class crash_evidence {
public:
    /** Number of ends from which a suspected request may be the cause. */
    static constexpr std::size_t min_ends = 3;

    /** Adds an end, unless it is known, or the request has been answered since, or enough others are known
        that show more. @returns whether the end was added. */
    bool add(const server_end& end);
    /** Records that another instance, which knows the order of its own ends exactly, knows of so many ends in
        sequence. Ignored while fewer than two ends are known. @returns whether it is the longest one known.
     */
    bool add_sequence(std::size_t length);
    /** Removes the ends up to @p when, when a server answered the request. @returns whether there were any.
     */
    bool answered(core::time_point when);

    /** @returns the ends in order of time. */
    [[nodiscard]] const std::vector<server_end>& ends() const noexcept { return ends_; }
    [[nodiscard]] std::optional<core::time_point> answered_at() const noexcept { return answered_at_; }
    /** @returns whether a run that began after the first end has ended another server. */
    [[nodiscard]] bool is_suspected() const;
    /** @returns the largest number of ends that are known to have come one after the other, each under a run
        that began after the end before. */
    [[nodiscard]] std::size_t sequence() const;
    /** @returns whether there are enough ends for a request that may be the cause. */
    [[nodiscard]] bool is_conclusive() const { return ends_.size() >= min_ends && is_suspected(); }

private:
    /** Removes the end that shows least: one that came at the same time as another. */
    void drop_one();

    std::vector<server_end> ends_; ///< at most a few, in order of time
    std::optional<core::time_point> answered_at_;
    std::size_t sequence_elsewhere_ = 0; ///< the longest one that another instance has reported
};

} // namespace knapweed::steering
