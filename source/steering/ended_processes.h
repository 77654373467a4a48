#pragma once

#include "core/core.h"

#include <unordered_map>
#include <unordered_set>

namespace knapweed::steering {

/** Processes of servers that have ended lately, and the targets of the requests that were in progress there.
    Unlike the evidence against a request, an answer doesn't change it. */
class ended_processes {
public:
    /** Number of processes that ended in a period. */
    struct period_count {
        std::size_t with_target = 0;
        std::size_t without_target = 0;
    };

    /** Records that a request lost a process. @param target hash of its host, method and target. */
    void record(std::uint32_t process, std::uint32_t target, core::time_point ended);
    /** Removes the processes that ended before a time. */
    void forget(core::time_point before);

    /** @returns the processes that ended from @p first to @p last, by whether a request with the target ran
     * there. */
    [[nodiscard]] period_count count(std::uint32_t target, core::time_point first,
                                     core::time_point last) const;

private:
    struct ended_process {
        core::time_point ended;
        std::unordered_set<std::uint32_t> targets;
    };

    std::unordered_map<std::uint32_t, ended_process> processes_; ///< by their hashes
};

} // namespace knapweed::steering
