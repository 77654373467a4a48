#pragma once

#include "core/core.h"

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace knapweed::steering {

/** Whether an entry that is removed from the store may only have expired. The store removes the entries of
    servers that have left, and of those that can't reach it; the latter register again within about two
   seconds after they can. The servers of a region lose and regain their paths to the store together. */
class entry_expiry {
public:
    /** @param time must outlive this object. */
    explicit entry_expiry(const core::clock& time) : time_(time) {}

    /** Records which regions can reach the store now; call it at least every 100 ms.
        @param regions those of servers. */
    void update(const std::set<core::region_id>& regions,
                const std::function<bool(const core::region_id&)>& is_reachable);

    /** @returns whether entries of a region's servers that are removed now may have expired. */
    [[nodiscard]] bool is_possible(const core::region_id& region) const;
    /** @returns whether a server of a region should have registered again if its entry had expired. */
    [[nodiscard]] bool is_over(const core::region_id& region, core::time_point removed) const;

private:
    struct store_path {
        bool reachable = true;
        std::optional<core::time_point> returned_at; ///< when the store became reachable again
    };

    [[nodiscard]] store_path path_of(const core::region_id& region) const;

    const core::clock& time_;
    std::map<core::region_id, store_path> paths_;
};

} // namespace knapweed::steering
