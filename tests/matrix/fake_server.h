#pragma once

#include "decision/event.h"
#include "matrix/event_queue.h"
#include "matrix/promise_log.h"

namespace knapweed::matrix {

/** A backend server that reports each run to the promise log.
    A run occupies its slot until it ends, also after its caller has disconnected. */
class fake_server {
public:
    using run_callback = std::function<void(const decision::dispatch_result&)>;

    fake_server(event_queue& events, promise_log& promises, std::string name, std::uint32_t slots);

    /** Starts a run, or calls @p on_end at once when the server is down or sheds load.
        @param timeout time after which the server gives up, unless it hangs.
        @returns the identifier of the run, for `cancel`; 0 when none was started. */
    std::uint64_t start(const attempt_tag& tag, core::milliseconds timeout, run_callback on_end);
    void cancel(std::uint64_t id);

    void crash();
    void restart();
    /** While the server hangs, runs neither end nor can be cancelled. False restarts it. */
    void set_hanging(bool on);
    /** While leaving, the probe answers say so and late new work breaks `leaving_gets_none`. */
    void set_leaving(bool on);
    /** While shedding, refuses all requests. */
    void set_shedding(bool on) { shedding_ = on; }
    /** Makes probe answers show the server healthy and idle, regardless of its state. */
    void set_misreporting(bool on) { misreports_ = on; }
    /** Reports each run twice, to test that the checks detect a repeated run. */
    void set_count_runs_twice(bool on) { counts_runs_twice_ = on; }

    /** Marks the server as drained by its configuration: late new work breaks `leaving_gets_none`,
        but the probe answers do not show it. */
    void set_drained(bool on) { drained_since_ = on ? std::optional{events_.now()} : std::nullopt; }

    [[nodiscard]] bool runs(int operation) const;
    [[nodiscard]] bool is_up() const { return up_; }
    [[nodiscard]] decision::server_report report() const;
    [[nodiscard]] const std::string& name() const { return name_; }

    std::function<void(const attempt_tag&)> on_started;
    std::function<void(const attempt_tag&)> on_ended;

private:
    struct run {
        attempt_tag tag;
        run_callback on_end;
    };
    void end(std::uint64_t id, const decision::dispatch_result& result);

    event_queue& events_;
    promise_log& promises_;
    std::string name_;
    std::uint32_t slots_;
    std::map<std::uint64_t, run> running_;
    std::uint64_t next_id_ = 1;
    bool up_ = true;
    bool hanging_ = false;
    bool shedding_ = false;
    bool misreports_ = false;
    bool counts_runs_twice_ = false;
    std::optional<core::time_point> leaving_since_;
    std::optional<core::time_point> drained_since_;
};

} // namespace knapweed::matrix
