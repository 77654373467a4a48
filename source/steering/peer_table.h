#pragma once

#include "steering/distance_table.h"
#include "steering/table_change.h"

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace knapweed::steering {

/** Sums over all instances of a region. */
struct region_summary {
    std::size_t instances = 0;
    std::map<core::service_id, double> demand; ///< requests per second that arrive in the region
};

/** Status of an instance, as it sends it to the other instances. */
struct instance_status {
    core::instance_id instance;
    network_location location;
    std::string caller_address; ///< ip:port where callers send requests
    std::string peer_address;   ///< ip:port where other instances send status messages
    core::incarnation incarnation;
    std::uint64_t sequence = 0;                ///< increases with each message of an incarnation
    bool ready = false;                        ///< accepts requests of callers
    bool leaving = false;                      ///< a graceful shutdown has begun
    bool reaches_servers = true;               ///< its paths to the backend servers are not cut
    double capacity = 1;                       ///< cores that it may use
    std::map<core::service_id, double> demand; ///< requests per second that arrive at the instance
    store_view store;
    /** Sent by the hub of the region. @see peer_fanout */
    std::optional<region_summary> region_sum;
};

/** Latest status of each other instance. The tables of different instances may differ for a moment: each
   holds what its instance has received, without an agreement protocol. */
class peer_table {
public:
    /** Time without a status message after which an instance no longer counts as live. Messages are sent
     * every 500 ms, so four may be lost. */
    static constexpr core::milliseconds live_timeout{2200};
    /** Up to this number of other instances, every instance sends its messages to every other one. With more,
     * it sends them only within its region, and the hub of each region informs the other regions. */
    static constexpr std::size_t max_full_mesh_peers = 30;

    /** @param time must outlive this object. */
    peer_table(core::instance_id own, core::region_id own_region, const core::clock& time)
        : own_(std::move(own)), own_region_(std::move(own_region)), time_(time)
    {}

    /** Stores the status from a message. A status older than the stored one is ignored, and one of an earlier
       incarnation as long as the later one isn't silent.
        @returns whether this is the first message from this incarnation of the instance. */
    bool update(const instance_status& status);
    /** Stores the status from an entry of the instance registry, which does not show that the instance is
     * live. A stored status of the same or a later incarnation is kept. */
    void add_registered(const instance_status& status);

    /** Calls @p visitor with the latest status of each known instance, and whether the instance is live. */
    void visit(const std::function<void(const instance_status&, bool live)>& visitor) const;
    /** @returns the addresses of all known instances for status messages. */
    [[nodiscard]] std::vector<std::string> peer_addresses() const;
    /** @returns the addresses of the known instances of one region for status messages. */
    [[nodiscard]] std::vector<std::string> peer_addresses_in(const core::region_id& region) const;
    /** @returns the addresses of the known instances of all other regions for status messages. */
    [[nodiscard]] std::vector<std::string> peer_addresses_outside(const core::region_id& region) const;
    /** Calls @p visitor with the latest status of each instance that is probably running: of the live ones,
       and beyond a full mesh also of those in other regions, from which no messages arrive. */
    void visit_present(const std::function<void(const instance_status&)>& visitor) const;
    /** Calls @p visitor with the latest status of each instance whose latest message is younger than
     * @p max_age. */
    void visit_live(core::duration max_age, const std::function<void(const instance_status&)>& visitor) const;
    /** @returns whether every instance sends its messages to every other one. */
    [[nodiscard]] bool is_full_mesh() const noexcept { return peers_.size() <= max_full_mesh_peers; }
    /** @returns the number of known instances, live or not, without this one. */
    [[nodiscard]] std::size_t known_peers() const noexcept { return peers_.size(); }
    /** @returns the number of known instances of a region, live or not, without this one. */
    [[nodiscard]] std::size_t known_peers_in(const core::region_id& region) const;
    /** @returns the requests per second for a service that arrive at the other instances of a region: from
     * the latest summary of the region if there is one, else the sum over its instances. */
    [[nodiscard]] double demand(const core::service_id& service, const core::region_id& region) const;

    /** Removes instances from which neither a message nor a registry entry has arrived for 60 s. */
    void tick();

private:
    struct peer {
        instance_status status;
        core::time_point registered_at;
        std::optional<core::time_point> received_at;
        core::incarnation received_incarnation; ///< of the latest message
    };

    [[nodiscard]] bool is_live(const peer& candidate, core::duration max_age = live_timeout) const;
    [[nodiscard]] bool is_silent(const peer& candidate) const;

    core::instance_id own_;
    core::region_id own_region_;
    const core::clock& time_;
    std::unordered_map<core::instance_id, peer> peers_;
};

} // namespace knapweed::steering
