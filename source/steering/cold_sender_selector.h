#pragma once

#include "steering/peer_table.h"
#include "steering/server_catalogue.h"

namespace knapweed::steering {

/** Says whether this instance may send requests to a cold server.

    A cold server bears a few requests a second from all instances together. Where there are more instances
   than that, a request of each in the same second would break it, so only a few send to it: those of its own
   region first, in an order that all instances compute alike from the instances they hear.
*/
class cold_sender_selector {
public:
    /** @param peers and @p time must outlive this object. */
    cold_sender_selector(core::instance_id own, core::region_id region, const peer_table& peers,
                         const core::clock& time);

    /** @param most instances that may send to the server. */
    [[nodiscard]] bool may_send_to_cold(const backend_server& server, std::size_t most);

private:
    struct judgement {
        bool may = false;
        core::time_point valid_until;
    };

    [[nodiscard]] bool judge(const backend_server& server, std::size_t most) const;

    core::instance_id own_;
    core::region_id region_;
    const peer_table& peers_;
    const core::clock& time_;
    std::unordered_map<std::uint64_t, judgement> judged_; ///< by the hash of the server's id
};

/** @param requests_per_second that a cold server bears. @param multiplier and @p slack of the bound on what
   all instances send to it within a second: requests_per_second * multiplier + slack.
    @returns the number of instances that may send to it. */
[[nodiscard]] std::size_t max_cold_senders(double requests_per_second, double multiplier, double slack);

} // namespace knapweed::steering
