#include "matrix/fake_server.h"

#include <algorithm>

namespace knapweed::matrix {

namespace {

constexpr core::milliseconds leaving_limit{2000}; ///< bound of the promise `leaving_gets_none`
constexpr core::milliseconds crash_after{20};     ///< run time of a request until it crashes the server
constexpr core::milliseconds restart_after{1000};

} // namespace

fake_server::fake_server(event_queue& events, promise_log& promises, std::string name, std::uint32_t slots)
    : events_(events), promises_(promises), name_(std::move(name)), slots_(slots)
{}

std::uint64_t fake_server::start(const attempt_tag& tag, core::milliseconds timeout, run_callback on_end)
{
    decision::dispatch_result result;
    if (!up_ || shedding_) {
        result.status = up_ ? decision::dispatch_status::refused : decision::dispatch_status::not_sent;
        on_end(result);
        return 0;
    }
    const auto draining_since = leaving_since_ ? leaving_since_ : drained_since_;
    if (draining_since && events_.now() - *draining_since > leaving_limit)
        promises_.report_violation("leaving_gets_none", name_ + " gets new work");
    promises_.run_started(tag);
    if (counts_runs_twice_)
        promises_.run_started(tag);
    const auto id = next_id_++;
    running_[id] = {tag, std::move(on_end)};
    promises_.trace(name_ + " starts operation " + std::to_string(tag.operation) + ", running " +
                    std::to_string(running_.size()));
    if (running_.size() > slots_)
        promises_.report_violation("no_overload", name_ + " runs " + std::to_string(running_.size()));
    if (on_started)
        on_started(tag);
    if (tag.crashes_server) {
        events_.after(crash_after, [this, id] {
            if (!running_.contains(id))
                return;
            crash();
            events_.after(restart_after, [this] { restart(); });
        });
        return id;
    }
    result.status =
        tag.run_time <= timeout ? decision::dispatch_status::answered : decision::dispatch_status::timed_out;
    result.kept = !tag.idempotent;
    result.answer = {200, "text/plain", "operation " + std::to_string(tag.operation)};
    result.answer_bytes = result.answer.body.size();
    events_.after(std::min(tag.run_time, timeout), [this, id, result] {
        if (!hanging_)
            end(id, result);
    });
    return id;
}

void fake_server::cancel(std::uint64_t id)
{
    decision::dispatch_result result;
    result.status = decision::dispatch_status::cancelled;
    if (!hanging_)
        end(id, result);
}

void fake_server::end(std::uint64_t id, const decision::dispatch_result& result)
{
    const auto found = running_.find(id);
    if (found == running_.end())
        return;
    const auto ended_run = std::move(found->second);
    running_.erase(found);
    if (on_ended && result.status == decision::dispatch_status::answered)
        on_ended(ended_run.tag);
    ended_run.on_end(result);
}

void fake_server::crash()
{
    promises_.trace(name_ + " crashes");
    up_ = false;
    hanging_ = false;
    decision::dispatch_result result;
    result.status = decision::dispatch_status::broken;
    while (!running_.empty())
        end(running_.begin()->first, result);
}

void fake_server::restart()
{
    up_ = true;
}

void fake_server::set_hanging(bool on)
{
    if (hanging_ && !on) { // a hung process recovers only by a restart
        crash();
        restart();
    }
    hanging_ = on;
}

void fake_server::set_leaving(bool on)
{
    leaving_since_ = on ? std::optional{events_.now()} : std::nullopt;
}

bool fake_server::runs(int operation) const
{
    return std::any_of(running_.begin(), running_.end(),
                       [operation](const auto& entry) { return entry.second.tag.operation == operation; });
}

decision::server_report fake_server::report() const
{
    decision::server_report report;
    report.healthy = true;
    report.leaving = leaving_since_.has_value();
    report.busy = misreports_ ? 0 : static_cast<std::uint32_t>(running_.size());
    return report;
}

} // namespace knapweed::matrix
