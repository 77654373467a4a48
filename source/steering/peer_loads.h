#pragma once

#include "steering/server_catalogue.h"

namespace knapweed::steering {

/** Requests of one instance that are at backend servers. */
struct instance_load {
    struct entry {
        std::uint32_t server = 0; ///< hash of the server's id
        unsigned running = 0;

        auto operator<=>(const entry&) const = default;
    };

    core::instance_id instance;
    core::incarnation incarnation;
    std::uint64_t sequence = 0; ///< grows with each message of an incarnation
    std::vector<entry> servers; ///< those with requests
};

/** @param near other instances in the own region, which are told each time. @param far those in other
   regions, which are told each fourth time.
    @returns the time between two messages on the own load. It grows with the instances, so that each sends
   and receives a bounded number of messages in a second. */
[[nodiscard]] core::duration load_interval(std::size_t near, std::size_t far);

/** Other regions hear of the load in each round of this number: what they are told is older when it arrives.
 */
inline constexpr std::uint64_t load_rounds_per_far_message = 4;

/** Sums up what the other instances have at each backend server. */
class peer_loads {
public:
    /** @param servers and @p time must outlive this object. */
    peer_loads(server_catalogue& servers, const core::clock& time) : servers_(servers), time_(time) {}

    /** Takes a message; an older one than known is ignored. */
    void update(const instance_load& load);

    /** Tells each server's estimate the current sum, and forgets instances that fell silent. To be called
       about every 100 ms; `update` tells the servers that a message changes at once. */
    void tick();

private:
    struct peer {
        core::incarnation incarnation;
        std::uint64_t sequence = 0;
        std::vector<instance_load::entry> servers;
        core::time_point heard;
    };

    void change(std::uint32_t server, int difference);
    void tell(std::uint32_t server);

    server_catalogue& servers_;
    const core::clock& time_;
    std::unordered_map<core::instance_id, peer> peers_;
    std::unordered_map<std::uint32_t, int> running_; ///< at each server, of all other instances
};

} // namespace knapweed::steering
