#include "decision/server_slots.h"

#include <algorithm>

namespace knapweed::decision {

namespace {

using namespace std::chrono_literals;

/** A server ends work at `max_run` itself; the grace time covers the answer's way back. */
constexpr core::duration run_grace = 1s;
/** A previous owner may start work until it notices the takeover. */
constexpr core::duration takeover_blind_time = 1s;
/** Time for a cancellation to reach the server: several times the latency inside a data centre. */
constexpr core::duration cancellation_time = 5ms;
/** A run older than this when a probe left is certainly counted in the report. */
constexpr core::duration dispatch_time = 10ms;
/** Servers that announce their departure may report other values from a lagging endpoint for a while. */
constexpr core::duration leaving_hold = 2s;
/** First wait before a server that accepted no connection is tried again; doubles up to the longest wait. */
constexpr core::duration first_back_off = 250ms;
constexpr core::duration longest_back_off = 8s;
constexpr core::duration shed_back_off = 20ms;
constexpr unsigned unreached_limit = 2;

core::duration back_off(unsigned failures)
{
    constexpr unsigned most_doublings = 5;
    return std::min(first_back_off * (1U << std::min(failures, most_doublings)), longest_back_off);
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
    share_minimum_ = minimum;
}

void server_slots::assume_occupied(std::optional<std::uint32_t> count, core::time_point now)
{
    const auto others = server_.slots - std::min(server_.slots, occupied());
    assumed_.assume(std::min(count.value_or(others), others), now + takeover_blind_time,
                    now + max_run_ + run_grace);
}

void server_slots::observe(bool reached, core::time_point sent, const server_report& report,
                           core::time_point now)
{
    if (sent <= last_report_)
        return;
    last_report_ = sent;
    if (!reached) {
        on_unreached(sent);
        return;
    }
    if (unreached_ >= unreached_limit && runs_.empty()) {
        assumed_.clear();
        restart_cold();
    }
    unreached_ = 0;
    reports_unhealthy_ = !report.healthy;
    if (reports_leaving_ && !report.leaving)
        leaving_until_ = now + leaving_hold;
    reports_leaving_ = report.leaving;
    const auto own = running_since(sent - dispatch_time);
    assumed_.observe(report.busy - std::min(report.busy, own), sent);
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
    const auto left = server_.slots - std::min(server_.slots, occupied());
    return std::min(left, usable_now - std::min(usable_now, running()));
}

std::uint32_t server_slots::usable() const
{
    const auto share = std::max(server_.slots / candidates_, std::min(share_minimum_, server_.slots));
    return std::min(share, warm_);
}

std::uint32_t server_slots::connection_limit() const
{
    return std::max(server_.connections / candidates_, 1U);
}

void server_slots::start(const pool_request& request, bool solitary, core::time_point now)
{
    core::ensure(occupied() < server_.slots, "a server never runs more than its slots");
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
    learn_from(end, run, now);
    return finished;
}

std::vector<core::exchange_id> server_slots::overdue(core::time_point now) const
{
    std::vector<core::exchange_id> late;
    for (const auto& run : runs_) {
        if (run.started + max_run_ + run_grace <= now)
            late.push_back(run.request.exchange);
    }
    return late;
}

void server_slots::learn_from(run_end end, const slot_run& run, core::time_point now)
{
    const auto latest_end = run.started + max_run_ + run_grace;
    switch (end) {
    case run_end::answered:
        failures_ = 0;
        last_success_ = now;
        warm_ = std::min(warm_ + 1, server_.slots);
        break;
    case run_end::not_run:
        closed_until_ = now + back_off(failures_++);
        warm_ = 1;
        break;
    case run_end::shed:
        closed_until_ = std::max(closed_until_, now + shed_back_off);
        warm_ = std::max(running(), 1U);
        break;
    case run_end::died:
        assumed_.assume(1, now, latest_end);
        break;
    case run_end::timed_out:
        assumed_.assume(1, now, end_of_timed_out(run, now));
        break;
    case run_end::cancelled:
        assumed_.assume(1, now, now + cancellation_time);
        break;
    }
}

std::optional<core::time_point> server_slots::end_of_timed_out(const slot_run& run,
                                                               core::time_point now) const
{
    // A server that let its own limit pass, or has answered nothing since the run began, may be hung: then
    // only a report or a restart shows that the slot is free. One that answered others keeps to the deadline
    // it was given.
    const bool past_limit = run.started + max_run_ + run_grace <= now;
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
    closed_until_ = now + back_off(failures_++);
    warm_ = 1;
}

void server_slots::on_unreached(core::time_point sent)
{
    ++unreached_;
    // Probes may fail while requests succeed, so a recent success outweighs them.
    if (unreached_ >= unreached_limit && last_success_ < sent)
        warm_ = 1;
}

void server_slots::restart_cold()
{
    warm_ = 1;
    closed_until_ = {};
    failures_ = 0;
}

std::uint32_t server_slots::running_since(core::time_point time) const
{
    return static_cast<std::uint32_t>(std::count_if(
        runs_.begin(), runs_.end(), [time](const slot_run& run) { return run.started <= time; }));
}

} // namespace knapweed::decision
