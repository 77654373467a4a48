#include "decision/assumed_slots.h"

#include <algorithm>

namespace knapweed::decision {

void assumed_slots::assume(std::uint32_t count, core::time_point observable_from,
                           std::optional<core::time_point> until)
{
    entries_.insert(entries_.end(), count, {observable_from, until});
}

void assumed_slots::observe(std::uint32_t occupied, core::time_point sent)
{
    if (previous_ && previous_->sent >= sent)
        return;
    if (previous_) {
        const auto reported_occupied = std::max(occupied, previous_->occupied);
        for (auto it = entries_.begin(); it != entries_.end() && count() > reported_occupied;) {
            if (it->observable_from <= previous_->sent)
                it = entries_.erase(it);
            else
                ++it;
        }
    }
    previous_ = report{occupied, sent};
}

void assumed_slots::expire(core::time_point now)
{
    std::erase_if(entries_, [now](const entry& slot) { return slot.until && *slot.until <= now; });
}

} // namespace knapweed::decision
