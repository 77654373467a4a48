#pragma once

#include "steering/distance_table.h"
#include "steering/table_change.h"

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace knapweed::steering {

/** What an instance tells the others of itself. */
struct instance_status {
    core::instance_id instance;
    network_location location;
    std::string caller_address; ///< ip:port where callers send requests
    std::string peer_address;   ///< ip:port where other instances send status messages
    core::incarnation incarnation;
    std::uint64_t sequence = 0;                ///< grows with each message of an incarnation
    bool ready = false;                        ///< serves callers
    bool leaving = false;                      ///< a graceful shutdown has begun
    double capacity = 1;                       ///< cores that it may use
    std::map<core::service_id, double> demand; ///< requests per second that arrive there
    store_view store;
};

/** The other instances, from their status messages. Nothing is agreed: each instance judges by what it heard.
 */
class peer_table {
public:
    /** Status messages come every 500 ms; four may be lost before an instance counts as gone. */
    static constexpr core::milliseconds live_timeout{2200};

    /** @param time must outlive this object. */
    peer_table(core::instance_id own, const core::clock& time) : own_(std::move(own)), time_(time) {}

    /** Takes a message, or an entry of the registry of instances. An older one than known is ignored. */
    void update(const instance_status& status);
    /** Learns of an instance from the registry, without a sign that it lives. */
    void add_registered(const instance_status& status);

    /** Calls @p visitor with the latest status of each known instance, and whether it was heard lately. */
    void visit(const std::function<void(const instance_status&, bool live)>& visitor) const;
    /** @returns the addresses to which status messages are sent. */
    [[nodiscard]] std::vector<std::string> peer_addresses() const;
    /** @returns those of the instances of one region. */
    [[nodiscard]] std::vector<std::string> peer_addresses_in(const core::region_id& region) const;
    /** Calls @p visitor with the latest status of each instance that was heard within a time. */
    void visit_live(core::duration heard_within,
                    const std::function<void(const instance_status&)>& visitor) const;
    /** @returns the number of known instances, live or not, without the own one. */
    [[nodiscard]] std::size_t known_peers() const noexcept { return peers_.size(); }
    /** @returns the number of known instances of a region, live or not, without the own one. */
    [[nodiscard]] std::size_t known_peers_in(const core::region_id& region) const;
    /** @returns requests per second for a service that arrive at the other instances of a region. */
    [[nodiscard]] double demand(const core::service_id& service, const core::region_id& region) const;

    /** Forgets instances that were silent for long. */
    void tick();

private:
    struct peer {
        instance_status status;
        core::time_point registered_at;
        std::optional<core::time_point> heard_at;
    };

    [[nodiscard]] bool is_live(const peer& each, core::duration heard_within = live_timeout) const;

    core::instance_id own_;
    const core::clock& time_;
    std::unordered_map<core::instance_id, peer> peers_;
};

} // namespace knapweed::steering
