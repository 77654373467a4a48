#pragma once

#include "core/core.h"

#include <optional>
#include <set>
#include <vector>

namespace knapweed::steering {

/** The data centres whose servers get no requests because operators asked for it in the store.

    After the store has come back from an older copy of its rows, it may lack an evacuation, or hold one that
   has ended, until operators have written again what was lost. For that time what was known before stays in
   force.
*/
class evacuation_list {
public:
    /** @param time must outlive this object. */
    explicit evacuation_list(const core::clock& time) : time_(time) {}

    /** Records what the store says of one data centre. */
    void set(const core::data_centre_id& data_centre, bool evacuated);
    /** Replaces what the store says by a complete list. */
    void replace(std::set<core::data_centre_id> data_centres) { stored_ = std::move(data_centres); }
    /** Keeps the evacuations that are in force for a time, whatever the store says. */
    void hold(core::duration duration) { held_until_ = time_.now() + duration; }

    /** Puts in force what the store says, unless it is held back. @returns the data centres whose evacuation
       has ended by this. */
    [[nodiscard]] std::vector<core::data_centre_id> apply();
    /** @returns whether an evacuation is in force. */
    [[nodiscard]] bool contains(const core::data_centre_id& data_centre) const
    {
        return in_force_.contains(data_centre);
    }

private:
    const core::clock& time_;
    std::set<core::data_centre_id> stored_;
    std::set<core::data_centre_id> in_force_;
    std::optional<core::time_point> held_until_;
};

} // namespace knapweed::steering
