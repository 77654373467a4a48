#pragma once

#include "core/core.h"

#include <optional>

namespace knapweed::steering {

/** What a backend server says of its load. */
struct load_report {
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
};

/** Estimates how many requests a backend server holds, of this instance and of all others.

    The own requests are counted. Those of others are known from what the other instances tell, several times
    in a run time. While they are silent, the server's own reports serve instead. Each of those is exact when
    the server makes it and loses its value within about one run time: the estimate decays from the latest
    report towards the mean of the reports.
*/
class occupancy_estimate {
public:
    /** @param time must outlive this object. */
    explicit occupancy_estimate(const core::clock& time) : time_(time) {}

    void request_started() noexcept { ++own_; }
    void request_ended() noexcept;

    /** Takes a report; the request whose answer carried it has ended already. */
    void observe(const load_report& report);

    /** The other instances have told how many of their requests are at the server. */
    void set_peer_requests(unsigned requests);

    [[nodiscard]] unsigned own() const noexcept { return own_; }
    [[nodiscard]] double others() const;
    [[nodiscard]] double total() const { return own_ + others(); }
    /** @returns the age of the latest report, or nothing when there was none. */
    [[nodiscard]] std::optional<core::duration> report_age() const;

private:
    const core::clock& time_;
    unsigned own_ = 0;
    double latest_others_ = 0;
    double mean_others_ = 0;
    std::optional<core::time_point> reported_;
    unsigned told_ = 0;
    std::optional<core::time_point> told_at_;
};

} // namespace knapweed::steering
