#pragma once

#include "steering/crash_evidence.h"
#include "steering/ended_processes.h"

namespace knapweed::steering {

/** Tells a request that ends servers from those that ran beside it, from the evidence against all requests.

    The end of a server counts against a request in full if no other request was there, else only in part:
    it is shared with the others there that were found at several ends and have not been answered since.
    Ends of servers on which the request was not running, at the same time, speak for another cause. A request
    against which the ends weigh too little counts as the cause only when it was found again and again, each
    run having begun after the end before.

    When many servers crash at the same moment, a request may be sent again from one to another that crashes
    just then. So a sequence of only two ends within a short time proves nothing.

    Built anew from the evidence when that has changed. Requests with the same target count as one here.
*/
class crash_attribution {
public:
    /** @param ended must outlive this object. */
    explicit crash_attribution(const ended_processes& ended) : ended_(ended) {}

    /** Adds the ends under a request; all requests are added before the first question. */
    void add(core::fingerprint request, const crash_evidence& evidence);

    /** @returns whether a request with this evidence is taken for the cause of the ends. */
    [[nodiscard]] bool is_cause(core::fingerprint request, const crash_evidence& evidence) const;

private:
    /** @returns the number of ends that the request accounts for, each shared with the others there. */
    [[nodiscard]] double weight(std::uint32_t target, const crash_evidence& evidence) const;
    /** @returns whether too many of the processes that ended at the time of the ends ran without the request.
     */
    [[nodiscard]] bool many_ended_without(std::uint32_t target, const crash_evidence& evidence) const;

    const ended_processes& ended_;
    /** By process, the targets of requests that were there and at another process when it ended. */
    std::unordered_map<std::uint32_t, std::unordered_set<std::uint32_t>> repeated_;
};

} // namespace knapweed::steering
