#pragma once

#include "core/clock.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace knapweed::stand_ins {

/** Faults that the platform emulator injects. */
struct fault_plan {
    core::milliseconds delay{0}; ///< of each call
    bool outage = false;         ///< connections are closed without an answer and nothing is changed
    /** Drops the answer to every n-th write, which still takes effect; 0 drops none, 1 drops all. */
    std::uint64_t lose_answers_every = 0;
    bool stale_reads = false; ///< reads of rows return the version before the last change
};

/** Parses a fault plan; absent members mean no fault.

    @returns nothing when a member is unknown or has the wrong type.
*/
[[nodiscard]] std::optional<fault_plan> parse_fault_plan(const nlohmann::json& json);

} // namespace knapweed::stand_ins
