#pragma once

#include "state/platform_client.h"

#include <optional>
#include <string>

namespace knapweed::state {

struct lease_options {
    std::string name;         ///< key of the row in table `leases`
    core::instance_id holder; ///< this instance
    core::incarnation incarnation;
    core::milliseconds duration{15000};
};

/** Contents of a lease's row. */
struct lease_row {
    core::instance_id holder;
    core::incarnation incarnation;
    std::uint64_t duration_ms = 0;
    /** Shown to operators only: wall clocks differ, so no decision uses it. */
    std::uint64_t expires_unix_ms = 0;
};

[[nodiscard]] std::string to_json(const lease_row& row);

/** @returns nothing when the text is malformed or a field is missing. */
[[nodiscard]] std::optional<lease_row> parse_lease_row(std::string_view json);

/** Lease that grants one instance at a time a task, stored as a row of the table service (design 4.11).

    The holder measures the duration from the moment at which it sent the acquisition or renewal, on its own
    steady clock, so `is_held` becomes false at the right time even when the process was paused. Every write
    that requires the lease has `fence` as a condition: each renewal and each change of holder changes the
    version of the row, so the write of a former holder fails.

    Another instance takes the lease over after it has observed the row unchanged for 1.5 times the duration,
    measured with its own clock; wall clocks are not compared.

    Call `acquire`, then `tick` at least every 100 ms. Before each step that requires the lease check
    `is_held`, and add `fence` to the conditions of the transaction. Such a write may also fail because the
    lease was renewed in the meantime; retry it while `is_held`.
*/
class lease {
public:
    /** @param client must outlive this object. This object must exist until the client's calls have
        completed.
        @param time must outlive this object. */
    lease(lease_options options, platform_client& client, const core::clock& time);

    /** Acquires the lease as soon as it is free and renews it until `release` is called. */
    void acquire() { requested_ = true; }

    /** Releases the lease: stops renewing it, and deletes its row if this incarnation still holds it. */
    void release();

    /** Reads or renews the row when that is due. */
    void tick();

    /** @returns whether the lease is held now. */
    [[nodiscard]] bool is_held() const { return held_until_ && time_.now() < *held_until_; }

    /** @returns the condition for writes that require the lease, or nothing when it is not held. */
    [[nodiscard]] std::optional<row_condition> fence() const;

private:
    void submit(platform_operation operation, platform_client::completion done);
    void read_row();
    void on_row(const platform_reply& reply);
    void write_row();
    void on_written(const platform_reply& reply, core::time_point sent);
    [[nodiscard]] bool can_take_over(const lease_row& row) const;

    lease_options options_;
    platform_client& client_;
    const core::clock& time_;
    bool requested_ = false;
    bool call_in_progress_ = false;
    std::uint64_t row_version_ = 0;
    std::optional<core::time_point> held_until_;
    std::optional<std::uint64_t> observed_version_;
    core::time_point observed_since_{}; ///< when `observed_version_` was first read
    core::time_point next_step_;
};

} // namespace knapweed::state
