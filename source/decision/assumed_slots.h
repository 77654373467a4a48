#pragma once

#include "core/core.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace knapweed::decision {

/** Slots of one server that may be occupied by work which is not among this owner's runs.

    Such work was started by a previous owner, or was started here and its run has ended without proof that
   the server stopped, for example because its connection broke. A slot is freed when its time limit passes,
   or when two consecutive load reports, both taken after the work must show in reports, show that it is free.
   One report is not enough because reports lag.
*/
class assumed_slots {
public:
    /** Adds slots that may be occupied.
        @param observable_from reports taken earlier may not include the work on these slots.
        @param until time by which the work has ended; empty when there is no time limit. */
    void assume(std::uint32_t count, core::time_point observable_from, std::optional<core::time_point> until);

    /** Frees slots that this load report and the previous one show as free.
        @param occupied slots in use according to the report, without the owner's own runs.
        @param sent time at which the probe for the report was sent. */
    void observe(std::uint32_t occupied, core::time_point sent);

    /** Frees the slots whose time limit has passed. */
    void expire(core::time_point now);

    void clear() { entries_.clear(); }
    [[nodiscard]] std::uint32_t count() const { return static_cast<std::uint32_t>(entries_.size()); }

private:
    struct entry {
        core::time_point observable_from;
        std::optional<core::time_point> until;
    };
    struct report {
        std::uint32_t occupied = 0;
        core::time_point sent;
    };

    std::vector<entry> entries_;
    std::optional<report> previous_;
};

} // namespace knapweed::decision
