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

/** Sums up what the other instances have at each backend server. */
class peer_loads {
public:
    /** @param servers and @p time must outlive this object. */
    peer_loads(server_catalogue& servers, const core::clock& time) : servers_(servers), time_(time) {}

    /** Takes a message; an older one than known is ignored. */
    void heard(const instance_load& load);

    /** Tells each server's estimate the current sum, and forgets instances that fell silent. To be called
       about every 100 ms; `heard` tells the servers that a message changes at once. */
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
