#pragma once

#include "gateway/json_line.h"
#include "net/log_level.h"

#include <memory>

namespace knapweed::gateway {

/** Name and limits of an `event_log`. */
struct event_log_options {
    std::string instance;             ///< written on each line
    unsigned lines_per_second = 400;  ///< further lines are dropped and counted
    std::size_t buffer_bytes = 65536; ///< size of the buffer for lines that are not written yet
};

/** Structured log of events and decisions, one JSON object per line, written through log4cplus.

    Lines are kept in a bounded buffer and written when the output is writable, so that a stalled reader of
   the output never blocks the gateway. Lines that exceed the rate limit or the buffer are dropped; the next
   line that is written contains their number.
*/
class event_log {
public:
    /** @param time must outlive this object. @param descriptor file descriptor of the output, 1 for standard
        output. */
    event_log(event_log_options options, const core::clock& time, int descriptor = 1);
    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;
    ~event_log();

    void write(net::log_level level, json_line line);
    void info(json_line line) { write(net::log_level::info, std::move(line)); }
    void warn(json_line line) { write(net::log_level::warn, std::move(line)); }

    /** Writes as many buffered lines as the output accepts without blocking; to be called several times a
        second. */
    void flush();

    /** @returns the number of lines dropped so far. */
    [[nodiscard]] std::uint64_t dropped() const noexcept { return dropped_; }

private:
    class buffered_appender;
    struct logger_handle;

    [[nodiscard]] bool take_token();

    event_log_options options_;
    const core::clock& time_;
    double tokens_;
    core::time_point last_refill_;
    std::uint64_t dropped_ = 0;
    std::uint64_t reported_dropped_ = 0;
    std::unique_ptr<logger_handle> logger_;
};

} // namespace knapweed::gateway
