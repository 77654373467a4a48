#pragma once

#include "steering/server_catalogue.h"

namespace knapweed::steering {

/** Requests of one instance that are in progress at backend servers. */
struct instance_load {
    struct entry {
        std::uint32_t server = 0; ///< `short_hash` of the server's id
        unsigned running = 0;     ///< requests of the instance in progress there

        auto operator<=>(const entry&) const = default;
    };

    core::instance_id instance;
    core::incarnation incarnation;
    std::uint64_t sequence = 0; ///< increases with each message of an incarnation
    std::vector<entry> servers; ///< servers with at least one request, sorted by hash
    core::region_id region;     ///< unless empty, the numbers are sums over all instances of this region
};

/** @returns the sums without the requests of one of the instances. @param own sorted by hash. */
[[nodiscard]] std::vector<instance_load::entry> subtract(const std::vector<instance_load::entry>& sums,
                                                         const std::vector<instance_load::entry>& own);

/** @param same_region number of other instances in this instance's region, which receive every message.
    @param other_regions number of instances in other regions, which receive every fourth message.
    @returns the time between two load messages of this instance. It increases with the number of instances,
   so that each sends and receives a limited number of messages per second. */
[[nodiscard]] core::duration load_interval(std::size_t same_region, std::size_t other_regions);

/** Number of load messages of which one is also sent to other regions. They need fewer, since a message is
   older when it arrives there. */
inline constexpr std::uint64_t load_rounds_per_far_message = 4;

/** Sums up the requests that the other instances have in progress at each backend server. */
class peer_loads {
public:
    /** @param servers and @p time must outlive this object. */
    peer_loads(server_catalogue& servers, const core::clock& time) : servers_(servers), time_(time) {}

    /** Applies a load message at once to the estimates of the servers concerned. A message that is not newer
     * than the latest one of its instance is ignored. */
    void update(const instance_load& load);

    /** @param own this instance's requests, sorted by hash.
        @returns the sums over this instance and the instances that send their own loads, sorted by hash. */
    [[nodiscard]] std::vector<instance_load::entry>
    region_sum(const std::vector<instance_load::entry>& own) const;

    /** Passes the current sum to each server's estimate and removes instances from which no message has
       arrived for 1 s; call it about every 100 ms. */
    void tick();

private:
    struct peer {
        core::incarnation incarnation;
        std::uint64_t sequence = 0;
        std::vector<instance_load::entry> servers;
        core::region_id region; ///< of a sum
        core::time_point received_at;
    };

    void remove_entries(const peer& known_peer);
    void remove_other_sums(const instance_load& load);
    void add_running(std::uint32_t server, std::int64_t difference);
    void update_estimate(std::uint32_t server);

    server_catalogue& servers_;
    const core::clock& time_;
    std::unordered_map<core::instance_id, peer> peers_;
    std::unordered_map<std::uint32_t, std::int64_t>
        running_; ///< requests of all other instances, by server hash
};

} // namespace knapweed::steering
