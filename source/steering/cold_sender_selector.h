#pragma once

#include "steering/peer_table.h"
#include "steering/server_catalogue.h"

namespace knapweed::steering {

/** Decides whether this instance may send requests to a cold server.

    A cold server can run a few requests per second, from all instances together. With more instances than
   that, one request from each within a second would overload it. So only a few instances may send to it:
   first those of the server's region, in a pseudo-random order. Every instance computes the same order from
   the instances that are live.
*/
class cold_sender_selector {
public:
    /** @param peers and @p time must outlive this object. */
    cold_sender_selector(core::instance_id own, core::region_id region, const peer_table& peers,
                         const core::clock& time);

    /** @param max_senders number of instances that may send to the server. */
    [[nodiscard]] bool may_send_to_cold(const backend_server& server, std::size_t max_senders);

private:
    struct cached_decision {
        bool may_send = false;
        core::time_point valid_until;
    };

    [[nodiscard]] bool is_sender(const backend_server& server, std::size_t max_senders) const;

    core::instance_id own_;
    core::region_id region_;
    const peer_table& peers_;
    const core::clock& time_;
    std::unordered_map<std::uint64_t, cached_decision> decisions_; ///< by the hash of the server's id
};

/** @param requests_per_second that a cold server can run. @param multiplier and @p slack of the limit on the
   requests that all instances send to it within a second: requests_per_second * multiplier + slack.
    @returns the number of instances that may send to it. */
[[nodiscard]] std::size_t max_cold_senders(double requests_per_second, double multiplier, double slack);

} // namespace knapweed::steering
