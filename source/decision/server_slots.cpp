#include "decision/server_slots.h"

#include <algorithm>

namespace knapweed::decision {

namespace {

using namespace std::chrono_literals;

/** A server itself ends each run at `max_run`; the grace time covers the transfer of the answer. */
constexpr core::duration run_grace_time = 1s;
/** A previous owner may start runs until it detects the takeover. */
constexpr core::duration takeover_detection_time = 1s;
/** Time for a cancellation to reach the server: several times the latency inside a data centre. */
constexpr core::duration cancellation_time = 5ms;
/** A run that started at least this long before a probe was sent is certainly counted in the report. */
constexpr core::duration max_dispatch_time = 10ms;
/** A leaving server stays closed this long after the first report that no longer shows it as leaving, because
   a lagging endpoint may report outdated values for a while. */
constexpr core::duration leaving_hold_time = 2s;
/** Time for which a server stays closed after a connection failure or death; doubles with each failure up to
   `max_back_off`. */
constexpr core::duration initial_back_off = 250ms;
constexpr core::duration max_back_off = 8s;
/** Time for which a server stays closed after it refused a request. */
constexpr core::duration shed_back_off = 20ms;
/** Consecutive failed probes after which a server counts as down. */
constexpr unsigned failed_probe_limit = 2;

core::duration back_off(unsigned failures)
{
    constexpr unsigned max_doublings = 5;
    return std::min(initial_back_off * (1U << std::min(failures, max_doublings)), max_back_off);
}

} // namespace

void server_slots::configure(const pool_server& server, core::duration max_run)
{
    server_ = server;
    max_run_ = max_run;
    retired_ = false;
}

void server_slots::set_share(std::uint32_t candidates, std::uint32_t minimum)
{
    candidates_ = std::max(candidates, 1U);
    minimum_share_ = minimum;
}

void server_slots::assume_occupied(std::optional<std::uint32_t> count, core::time_point now)
{
    const auto unused_slots = server_.slots - std::min(server_.slots, occupied());
    assumed_slots_.assume(std::min(count.value_or(unused_slots), unused_slots), now + takeover_detection_time,
                          now + max_run_ + run_grace_time);
}

void server_slots::observe(bool reached, core::time_point sent, const server_report& report,
                           core::time_point now)
{
    if (sent <= last_report_)
        return;
    last_report_ = sent;
    if (!reached) {
        on_failed_probe(sent);
        return;
    }
    if (failed_probes_ >= failed_probe_limit && runs_.empty()) {
        assumed_slots_.clear();
        reset_to_cold_start();
    }
    failed_probes_ = 0;
    reports_unhealthy_ = !report.healthy;
    if (reports_leaving_ && !report.leaving)
        leaving_until_ = now + leaving_hold_time;
    reports_leaving_ = report.leaving;
    const auto own_runs = running_since(sent - max_dispatch_time);
    assumed_slots_.observe(report.busy - std::min(report.busy, own_runs), sent);
}

bool server_slots::open(core::time_point now) const
{
    const bool leaving = listed_leaving_ || reports_leaving_ || now < leaving_until_;
    return !retired_ && !server_.drained && !leaving && !reports_unhealthy_ && closed_until_ <= now;
}

std::uint32_t server_slots::free(core::time_point now) const
{
    if (!open(now))
        return 0;
    const auto usable_now = usable();
    const auto unoccupied = server_.slots - std::min(server_.slots, occupied());
    return std::min(unoccupied, usable_now - std::min(usable_now, running()));
}

std::uint32_t server_slots::usable() const
{
    const auto share = std::max(server_.slots / candidates_, std::min(minimum_share_, server_.slots));
    return std::min(share, slow_start_limit_);
}

std::uint32_t server_slots::connection_limit() const
{
    return std::max(server_.connections / candidates_, 1U);
}

void server_slots::start(const pool_request& request, bool solitary, core::time_point now)
{
    core::ensure(occupied() < server_.slots, "a run starts only on an unoccupied slot");
    runs_.push_back({request, now, solitary});
    last_started_ = now;
}

slot_run* server_slots::find(core::exchange_id exchange)
{
    const auto found = std::find_if(runs_.begin(), runs_.end(), [exchange](const slot_run& run) {
        return run.request.exchange == exchange;
    });
    return found == runs_.end() ? nullptr : &*found;
}

std::optional<finished_run> server_slots::finish(core::exchange_id exchange, run_end end,
                                                 core::time_point now)
{
    const auto* found = find(exchange);
    if (found == nullptr)
        return std::nullopt;
    const slot_run run = *found;
    finished_run finished{server_.server,    run.request.rank, run.request.fingerprint,
                          now - run.started, run.solitary,     std::nullopt};
    if (end == run_end::died)
        on_death(finished, run, now);
    std::erase_if(runs_, [exchange](const slot_run& other) { return other.request.exchange == exchange; });
    update_after_run(end, run, now);
    return finished;
}

std::vector<core::exchange_id> server_slots::overdue(core::time_point now) const
{
    std::vector<core::exchange_id> overdue_runs;
    for (const auto& run : runs_) {
        if (run.started + max_run_ + run_grace_time <= now)
            overdue_runs.push_back(run.request.exchange);
    }
    return overdue_runs;
}

void server_slots::update_after_run(run_end end, const slot_run& run, core::time_point now)
{
    const auto latest_end = run.started + max_run_ + run_grace_time;
    switch (end) {
    case run_end::answered:
        consecutive_failures_ = 0;
        last_success_ = now;
        slow_start_limit_ = std::min(slow_start_limit_ + 1, server_.slots);
        break;
    case run_end::not_run:
        closed_until_ = now + back_off(consecutive_failures_++);
        slow_start_limit_ = 1;
        break;
    case run_end::shed:
        closed_until_ = std::max(closed_until_, now + shed_back_off);
        slow_start_limit_ = std::max(running(), 1U);
        break;
    case run_end::died:
        assumed_slots_.assume(1, now, latest_end);
        break;
    case run_end::timed_out:
        assumed_slots_.assume(1, now, assumed_end_of_timed_out(run, now));
        break;
    case run_end::cancelled:
        assumed_slots_.assume(1, now, now + cancellation_time);
        break;
    }
}

std::optional<core::time_point> server_slots::assumed_end_of_timed_out(const slot_run& run,
                                                                       core::time_point now) const
{
    // A server that exceeded the longest run time, or has answered no request since the run started, may be
    // hung: then only a report or a restart shows that the slot is free. A server that answered other
    // requests is assumed to abort the run at the deadline it received.
    const bool past_limit = run.started + max_run_ + run_grace_time <= now;
    if (past_limit || last_success_ <= run.started)
        return std::nullopt;
    return now + cancellation_time;
}

void server_slots::on_death(finished_run& finished, const slot_run& run, core::time_point now)
{
    if (run.death_reported)
        return;
    server_death death;
    death.solitary = run.solitary;
    for (auto& other : runs_) {
        death.running.push_back(other.request.fingerprint);
        other.death_reported = true;
    }
    finished.death = std::move(death);
    closed_until_ = now + back_off(consecutive_failures_++);
    slow_start_limit_ = 1;
}

void server_slots::on_failed_probe(core::time_point sent)
{
    ++failed_probes_;
    // Probes may fail while requests succeed, so failed probes are ignored after a more recent success.
    if (failed_probes_ >= failed_probe_limit && last_success_ < sent)
        slow_start_limit_ = 1;
}

void server_slots::reset_to_cold_start()
{
    slow_start_limit_ = 1;
    closed_until_ = {};
    consecutive_failures_ = 0;
}

std::uint32_t server_slots::running_since(core::time_point time) const
{
    return static_cast<std::uint32_t>(std::count_if(
        runs_.begin(), runs_.end(), [time](const slot_run& run) { return run.started <= time; }));
}

} // namespace knapweed::decision
