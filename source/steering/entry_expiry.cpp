#include "steering/entry_expiry.h"

#include <algorithm>

namespace knapweed::steering {

namespace {

/** Expired entries are registered again within about 2 s after the store has become reachable again. */
constexpr core::milliseconds expiry_grace{2000};

} // namespace

void entry_expiry::update(const std::set<core::region_id>& regions,
                          const std::function<bool(const core::region_id&)>& is_reachable)
{
    for (const auto& region : regions) {
        auto& path = paths_[region];
        const bool reachable = is_reachable(region);
        if (reachable && !path.reachable)
            path.returned_at = time_.now();
        path.reachable = reachable;
    }
}

entry_expiry::store_path entry_expiry::path_of(const core::region_id& region) const
{
    const auto found = paths_.find(region);
    return found == paths_.end() ? store_path{} : found->second;
}

bool entry_expiry::is_possible(const core::region_id& region) const
{
    const auto path = path_of(region);
    return !path.reachable || (path.returned_at && time_.now() - *path.returned_at < expiry_grace);
}

bool entry_expiry::is_over(const core::region_id& region, core::time_point removed) const
{
    const auto path = path_of(region);
    return path.reachable &&
           time_.now() - std::max(removed, path.returned_at.value_or(removed)) >= expiry_grace;
}

} // namespace knapweed::steering
