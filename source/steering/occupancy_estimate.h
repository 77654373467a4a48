#pragma once

#include "core/core.h"

#include <optional>

namespace knapweed::steering {

/** A backend server's report of its load, sent with its answers. */
struct load_report {
    unsigned running = 0; ///< requests in slots
    unsigned waiting = 0; ///< requests in the queue
    unsigned slots = 0;   ///< requests that can run at the same time; 0 when not reported
    /** How long work takes on the server's machine at the moment of the report, relative to its usual time.
        Other programs on the machine change it several times a second. Nothing when not reported. */
    std::optional<double> relative_run_time{};
};

/** Estimates how many requests a backend server holds, of this instance and of all others.

    This instance's requests are counted. Those of the other instances are taken from their load messages,
   which arrive several times per run time. Without recent load messages, the server's load reports are used
   instead. A report is exact when the server makes it and out of date after about one run time, so the
   estimate decays from the latest report towards the mean of the reports.
*/
class occupancy_estimate {
public:
    /** @param time must outlive this object. */
    explicit occupancy_estimate(const core::clock& time) : time_(time) {}

    void request_started() noexcept { ++own_; }
    void request_ended() noexcept;

    /** Updates the estimate from a report. Call `request_ended` first for the request whose answer carried
     * it. */
    void observe(const load_report& report);

    /** Sets the number of requests that the other instances have at the server, from their load messages. */
    void set_peer_requests(unsigned requests);

    /** @returns the number of this instance's requests at the server. */
    [[nodiscard]] unsigned own() const noexcept { return own_; }
    /** @returns the estimated number of the other instances' requests at the server. */
    [[nodiscard]] double others() const;
    /** @returns the estimated number of all requests at the server. */
    [[nodiscard]] double total() const { return own_ + others(); }
    /** @returns the age of the latest report, or nothing when there was none. */
    [[nodiscard]] std::optional<core::duration> report_age() const;

private:
    const core::clock& time_;
    unsigned own_ = 0;
    double latest_others_ = 0; ///< requests of other instances, from the latest report
    double mean_others_ = 0;   ///< moving mean of the same over the reports
    std::optional<core::time_point> reported_at_;
    unsigned peer_requests_ = 0; ///< from the load messages
    std::optional<core::time_point> peer_requests_at_;
};

} // namespace knapweed::steering
