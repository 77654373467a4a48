#pragma once

#include "steering/peer_table.h"

#include <map>
#include <span>

namespace knapweed::steering {

/** Chooses the instance that sends a request to a server for this one, while this one's own paths are cut.

    Instances of the own region come first. Of two random candidates the one that has fewer of this instance's
    requests in progress for its size is taken, so that several cut instances don't all use the same one.
*/
class relay_selector {
public:
    struct choice {
        core::instance_id instance;
        std::string address; ///< ip:port where the instance accepts relayed requests
    };

    /** @param peers and @p time must outlive this object. */
    relay_selector(core::region_id own_region, const peer_table& peers, const core::clock& time,
                   std::uint64_t seed);

    /** @param allowed_regions of the request's route; empty allows all. @param excluded instances that the
        request was relayed to before. @returns nothing when no other instance can help. */
    [[nodiscard]] std::optional<choice> choose(std::span<const core::region_id> allowed_regions,
                                               std::span<const core::instance_id> excluded);

    void relay_started(const core::instance_id& instance);
    /** @param unreachable whether the instance could not be connected; then it is avoided for a while. */
    void relay_ended(const core::instance_id& instance, bool unreachable);

private:
    [[nodiscard]] double load_of(const instance_status& status) const;

    core::region_id own_region_;
    const peer_table& peers_;
    const core::clock& time_;
    core::random_source random_;
    std::map<core::instance_id, unsigned> in_progress_;
    std::map<core::instance_id, core::time_point> avoided_until_;
};

} // namespace knapweed::steering
