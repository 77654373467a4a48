#pragma once

#include "steering/backend_server.h"

#include <unordered_map>

namespace knapweed::steering {

/** Processes of backend servers whose entries were removed from the store lately. An older copy of the
   store's rows may hold their entries again. */
class departed_servers {
public:
    /** @param time must outlive this object. */
    explicit departed_servers(const core::clock& time) : time_(time) {}

    /** Records that a server's entry was removed. */
    void add(const backend_server& server);
    /** @returns whether a record is that of a departed process, or of one before it with the same id. */
    [[nodiscard]] bool contains(const server_record& record) const;
    /** Applies what was known of the process of a server whose entry is there again: that it leaves, and how
       long it wants rest. */
    void restore(backend_server& server) const;
    /** Forgets those that departed long ago. */
    void tick();

private:
    struct departure {
        std::uint64_t started_unix_ms = 0;
        bool leaving = false;
        std::optional<core::time_point> rest_end;
        core::time_point at;
    };

    const core::clock& time_;
    std::unordered_map<core::server_id, departure> departures_;
};

} // namespace knapweed::steering
