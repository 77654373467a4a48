#pragma once

#include "gateway/json_line.h"
#include "net/log_level.h"

#include <memory>

namespace knapweed::gateway {

struct event_log_options {
    std::string instance;
    unsigned lines_per_second = 400;
    std::size_t buffer_bytes = 65536; ///< waiting for a reader of the output
};

/** Structured log of decisions, one JSON object a line, through log4cplus.

    Lines wait in a bounded buffer and are written when the output takes them, so a reader that stalls never
    blocks the gateway. Lines beyond the rate or the buffer are dropped; the next line written says how many.
*/
class event_log {
public:
    /** @param time must outlive this object. @param descriptor of the output, 1 for standard output. */
    event_log(event_log_options options, const core::clock& time, int descriptor = 1);
    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;
    ~event_log();

    void write(net::log_level level, json_line line);
    void info(json_line line) { write(net::log_level::info, std::move(line)); }
    void warn(json_line line) { write(net::log_level::warn, std::move(line)); }

    /** Writes what the output takes without blocking; to be called several times a second. */
    void flush();

    [[nodiscard]] std::uint64_t dropped() const noexcept { return dropped_; }

private:
    class buffered_appender;
    struct logger_handle;

    [[nodiscard]] bool take_token();

    event_log_options options_;
    const core::clock& time_;
    double tokens_;
    core::time_point refilled_;
    std::uint64_t dropped_ = 0;
    std::uint64_t reported_dropped_ = 0;
    std::unique_ptr<logger_handle> logger_;
};

} // namespace knapweed::gateway
