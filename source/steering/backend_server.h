#pragma once

#include "steering/cold_start_limiter.h"
#include "steering/failure_tracker.h"
#include "steering/named_limit.h"
#include "steering/occupancy_estimate.h"
#include "steering/recent_objects.h"
#include "steering/rest_period.h"
#include "steering/speed_estimate.h"

namespace knapweed::steering {

/** A backend server's entry in the store. */
struct server_record {
    core::server_id id;
    core::service_id service;
    core::data_centre_id data_centre;
    std::string address;                       ///< ip:port
    unsigned slots = 1;                        ///< requests that it can run at the same time
    bool leaving = false;                      ///< a graceful shutdown has begun
    core::milliseconds remaining_cold_time{0}; ///< how long it stays cold after the record was written
    std::uint64_t started_unix_ms = 0;         ///< distinguishes processes with the same id; 0 when unknown
};

/** @returns a hash of the id and the start time of a server's process, the same on every instance. */
[[nodiscard]] inline std::uint32_t process_hash(const server_record& record)
{
    return static_cast<std::uint32_t>(core::hash_text(record.id.str(), record.started_unix_ms));
}

/** One process of a backend server: its record, and this instance's estimates of its state. A server that
   restarts is represented by a new object. */
class backend_server {
public:
    /** @param time must outlive this object. */
    backend_server(server_record record, core::region_id region, const core::clock& time);

    [[nodiscard]] const server_record& record() const noexcept { return record_; }
    [[nodiscard]] const core::region_id& region() const noexcept { return region_; }
    /** @returns a hash of the id, for rendezvous hashing. */
    [[nodiscard]] std::uint64_t id_hash() const noexcept { return id_hash_; }
    /** @returns the number of requests that the server can run at the same time, by its record or its latest
     * report, at least 1. */
    [[nodiscard]] unsigned slots() const noexcept { return slots_; }

    /** Applies a newer record of the same process. A process that has begun to leave stays leaving, whatever
       the record says: an older copy of the store may say otherwise. */
    void update(server_record record);
    /** Records that the process has begun to leave. */
    void mark_leaving() noexcept { record_.leaving = true; }
    /** @returns since when this instance knows the process. */
    [[nodiscard]] core::time_point known_since() const noexcept { return known_since_; }
    /** Applies a load report from an answer. */
    void observe(const load_report& report);

    [[nodiscard]] occupancy_estimate& occupancy() noexcept { return occupancy_; }
    [[nodiscard]] const occupancy_estimate& occupancy() const noexcept { return occupancy_; }
    [[nodiscard]] failure_tracker& failures() noexcept { return failures_; }
    [[nodiscard]] const failure_tracker& failures() const noexcept { return failures_; }
    [[nodiscard]] cold_start_limiter& cold_start() noexcept { return cold_start_; }
    [[nodiscard]] const cold_start_limiter& cold_start() const noexcept { return cold_start_; }
    [[nodiscard]] named_limit& limit() noexcept { return limit_; }
    [[nodiscard]] const named_limit& limit() const noexcept { return limit_; }
    [[nodiscard]] rest_period& rest() noexcept { return rest_; }
    [[nodiscard]] const rest_period& rest() const noexcept { return rest_; }
    [[nodiscard]] speed_estimate& speed() noexcept { return speed_; }
    [[nodiscard]] const speed_estimate& speed() const noexcept { return speed_; }

    /** Records that this instance sends a request to the server. */
    void record_send();
    /** Records that the server answered a request of this instance. */
    void record_answer();
    /** @returns how long the server has not answered although requests of this instance are in progress
     * there; 0 without such requests. */
    [[nodiscard]] core::duration unanswered_time() const;

    [[nodiscard]] recent_objects& objects() noexcept { return objects_; }
    [[nodiscard]] const recent_objects& objects() const noexcept { return objects_; }

    /** Records that another server answered at this server's address. It receives no requests until its
     * address changes. */
    void mark_replaced() noexcept { replaced_ = true; }
    [[nodiscard]] bool is_replaced() const noexcept { return replaced_; }

private:
    const core::clock& time_;
    core::time_point known_since_;
    server_record record_;
    core::region_id region_;
    std::uint64_t id_hash_;
    unsigned slots_;
    bool replaced_ = false;
    occupancy_estimate occupancy_;
    failure_tracker failures_;
    cold_start_limiter cold_start_;
    named_limit limit_;
    rest_period rest_;
    speed_estimate speed_;
    core::time_point unanswered_since_{}; ///< latest answer, or first request after a pause
    recent_objects objects_;
};

} // namespace knapweed::steering
