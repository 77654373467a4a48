#pragma once

#include "steering/cold_start_limiter.h"
#include "steering/failure_tracker.h"
#include "steering/occupancy_estimate.h"
#include "steering/recent_objects.h"
#include "steering/speed_estimate.h"

namespace knapweed::steering {

/** A backend server as it registered itself. */
struct server_record {
    core::server_id id;
    core::service_id service;
    core::data_centre_id data_centre;
    std::string address; ///< ip:port
    unsigned slots = 1;
    bool leaving = false;
    core::milliseconds remaining_cold_time{0}; ///< how long it stays cold, from when it said so
    std::uint64_t started_unix_ms = 0;         ///< tells two lives under one id apart; 0 when unknown
};

/** One life of a backend server: its record, and what this instance has learnt of it. */
class backend_server {
public:
    /** @param time must outlive this object. */
    backend_server(server_record record, core::region_id region, const core::clock& time);

    [[nodiscard]] const server_record& record() const noexcept { return record_; }
    [[nodiscard]] const core::region_id& region() const noexcept { return region_; }
    /** @returns a hash of the id, for rendezvous hashing. */
    [[nodiscard]] std::uint64_t id_hash() const noexcept { return id_hash_; }
    [[nodiscard]] unsigned slots() const noexcept { return slots_; }

    /** Takes a newer record of the same life. */
    void update(server_record record);
    void observe(const load_report& report);

    [[nodiscard]] occupancy_estimate& occupancy() noexcept { return occupancy_; }
    [[nodiscard]] const occupancy_estimate& occupancy() const noexcept { return occupancy_; }
    [[nodiscard]] failure_tracker& failures() noexcept { return failures_; }
    [[nodiscard]] const failure_tracker& failures() const noexcept { return failures_; }
    [[nodiscard]] cold_start_limiter& cold_start() noexcept { return cold_start_; }
    [[nodiscard]] const cold_start_limiter& cold_start() const noexcept { return cold_start_; }
    [[nodiscard]] speed_estimate& speed() noexcept { return speed_; }
    [[nodiscard]] const speed_estimate& speed() const noexcept { return speed_; }

    /** A request was sent to it, or it answered. */
    void note_send();
    void note_answer();
    /** @returns for how long it has owed answers without giving any; 0 while it owes none. */
    [[nodiscard]] core::duration unanswered_time() const;

    [[nodiscard]] recent_objects& objects() noexcept { return objects_; }
    [[nodiscard]] const recent_objects& objects() const noexcept { return objects_; }

    /** Another server has answered at its address: it gets nothing until its record changes. */
    void mark_replaced() noexcept { replaced_ = true; }
    [[nodiscard]] bool is_replaced() const noexcept { return replaced_; }

private:
    const core::clock& time_;
    server_record record_;
    core::region_id region_;
    std::uint64_t id_hash_;
    unsigned slots_;
    bool replaced_ = false;
    occupancy_estimate occupancy_;
    failure_tracker failures_;
    cold_start_limiter cold_start_;
    speed_estimate speed_;
    core::time_point owes_since_{}; ///< last answer, or first request after a pause
    recent_objects objects_;
};

} // namespace knapweed::steering
