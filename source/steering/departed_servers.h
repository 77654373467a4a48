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

    /** Records that a server's entry was removed. @param record as it was known. */
    void add(const server_record& record);
    /** @returns whether a record is that of a departed process, or of one before it with the same id. */
    [[nodiscard]] bool contains(const server_record& record) const;
    /** @returns whether a record is that of a departed process that was leaving. */
    [[nodiscard]] bool was_leaving(const server_record& record) const;
    /** Forgets those that departed long ago. */
    void tick();

private:
    struct departure {
        std::uint64_t started_unix_ms = 0;
        bool leaving = false;
        core::time_point at;
    };

    const core::clock& time_;
    std::unordered_map<core::server_id, departure> departures_;
};

} // namespace knapweed::steering
