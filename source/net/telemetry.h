#pragma once

#include "core/core.h"
#include "decision/action.h"
#include "net/log_level.h"
#include "net/metrics.h"
#include "net/ring.h"

#include <atomic>
#include <memory>
#include <string>

namespace knapweed::net {

/** The thread that logs a line. Each thread has a separate ring. */
enum class log_source { network, decision, control };

/** One line of the log. */
struct log_line {
    log_level level = log_level::info;
    core::wall_time time;
    std::string event;  ///< snake_case name of the event
    std::string detail; ///< plain text
};

/** Counters, gauges and logs of one instance.

    Counters and gauges may be changed from any thread. Log lines pass through one ring per thread and are
    written by the thread that calls `write_pending_logs`.
*/
class telemetry final : public counter_sink {
public:
    using counter_sink::add;

    /** @param level lines below it are dropped. @param ring_entries capacity of each log ring. */
    telemetry(std::string instance, log_level level, std::size_t ring_entries);
    telemetry(const telemetry&) = delete;
    telemetry& operator=(const telemetry&) = delete;
    ~telemetry() override;

    void add(counter which, std::uint64_t amount) override;
    void set(gauge which, double value);
    void add(gauge which, double change);
    void count(const decision::count_refusal& refusal);
    void count(const decision::count_retry& retry);
    void count(const decision::count_unknown& unknown);

    [[nodiscard]] std::uint64_t value(counter which) const;
    [[nodiscard]] std::uint64_t value(const decision::count_refusal& refusal) const;

    /** Queues a log line without blocking. If the ring is full, the line is dropped and counted. */
    void log(log_source source, log_level level, std::string event, std::string detail);

    /** Writes the queued lines. Telemetry thread only. */
    void write_pending_logs();

    /** @returns all metrics in the Prometheus text format. */
    [[nodiscard]] std::string text() const;

private:
    struct metrics;

    std::string instance_;
    log_level level_;
    std::array<std::unique_ptr<ring<log_line>>, 3> log_rings_;
    std::unique_ptr<metrics> metrics_;
};

} // namespace knapweed::net
