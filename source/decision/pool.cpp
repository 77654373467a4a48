#include "decision/pool.h"

#include "decision/preemption.h"

#include <algorithm>
#include <cmath>

namespace knapweed::decision {

namespace {

using namespace std::chrono_literals;

/** Sliding window over which each rank's share of the slot time is compared with its floor. */
constexpr core::duration floor_window = 10s;
/** A rank counts as below its floor until its share reaches this multiple of the floor. The share varies by a
   few runs around the threshold, so a threshold at the floor itself would leave it too low part of the time.
 */
constexpr double floor_margin = 1.05;
/** A request must start early enough that this share of the runs would end before its deadline. Under a
   steady overload the request at the head of the queue is always close to its deadline, so each run that
   takes longer wastes slot time: several times the mean run time. */
constexpr double desired_fitting_share = 0.995;
/** A request with a short timeout is accepted even if fewer runs would meet it, down to this share. */
constexpr double minimum_fitting_share = 0.5;
/** Share of such a short timeout that must remain when the run starts. */
constexpr double minimum_budget_share = 0.9;

} // namespace

pool::pool(core::pool_id id, const core::clock& time, std::function<bool(core::fingerprint)> is_suspect)
    : id_(std::move(id)), time_(time), is_suspect_(std::move(is_suspect)),
      slot_time_(floor_window, time.now())
{}

void pool::apply(const pool_settings& settings)
{
    settings_ = settings;
    servers_.configure(settings.servers, settings.max_run, time_.now());
}

void pool::take_over()
{
    owned_ = true;
    servers_.take_over(time_.now());
}

void pool::accept(const wire::hand_over_pool& counts)
{
    owned_ = true;
    servers_.accept(counts, time_.now());
}

wire::hand_over_pool pool::hand_over()
{
    owned_ = false;
    servers_.tick(time_.now());
    wire::hand_over_pool counts;
    counts.set_service(id_.service.str());
    counts.set_data_centre(id_.data_centre.str());
    servers_.export_counts(counts);
    return counts;
}

std::optional<core::refusal_reason> pool::offer(const pool_request& request)
{
    using core::refusal_reason;
    const auto now = time_.now();
    credit_.record_demand(request.from, request.rank);
    if (!owned_)
        return refusal_reason::leaving;
    if (!servers_.any_open(now))
        return refusal_reason::no_backend_server;
    if (!credit_.admits(request.from, request.rank))
        return refusal_reason::no_credit;
    if (queued(request.rank) >= capacity(request.rank))
        return refusal_reason::queue_full;
    auto queued_request = request;
    queued_request.latest_start = request.deadline - needed_time(request.rank, request.deadline - now);
    if (now + estimated_wait(request.rank, request.deadline) > queued_request.latest_start)
        return refusal_reason::deadline_unmeetable;
    queue_.push(queued_request);
    credit_.reserve(request.from, request.rank);
    return std::nullopt;
}

bool pool::mark_ready(core::exchange_id exchange)
{
    return queue_.mark_ready(exchange);
}

bool pool::withdraw(core::exchange_id exchange)
{
    auto request = queue_.withdraw(exchange);
    if (!request)
        request = suspects_.withdraw(exchange);
    if (!request)
        return false;
    return_credit(*request);
    return true;
}

std::vector<dropped_request> pool::withdraw_fingerprint(core::fingerprint fingerprint)
{
    const auto matches = [fingerprint](const pool_request& request) {
        return request.fingerprint == fingerprint;
    };
    auto dropped = drop(queue_.withdraw_if(matches), core::refusal_reason::quarantined);
    const auto suspects = drop(suspects_.withdraw_if(matches), core::refusal_reason::quarantined);
    dropped.insert(dropped.end(), suspects.begin(), suspects.end());
    return dropped;
}

std::vector<dropped_request> pool::withdraw_all(core::refusal_reason reason)
{
    const auto all = [](const pool_request&) { return true; };
    auto dropped = drop(queue_.withdraw_if(all), reason);
    const auto suspects = drop(suspects_.withdraw_if(all), reason);
    dropped.insert(dropped.end(), suspects.begin(), suspects.end());
    return dropped;
}

schedule_result pool::schedule()
{
    schedule_result result;
    const auto now = time_.now();
    servers_.tick(now);
    slot_time_.advance(now);
    drop_expired(result.dropped);
    if (!owned_)
        return result;
    start_suspect(result.started);
    while (has_ready()) {
        auto* server = servers_.pick(now, reserved_server());
        if (server == nullptr)
            break;
        const auto request = queue_.pop(pick_rank());
        if (request.latest_start < now) {
            return_credit(request);
            result.dropped.push_back(
                {request.exchange, request.rank, core::refusal_reason::expired_in_queue});
            continue;
        }
        if (is_suspect_ && is_suspect_(request.fingerprint)) {
            suspects_.push(request);
            start_suspect(result.started);
            continue;
        }
        result.started.push_back(start(*server, request, false));
    }
    return result;
}

std::optional<finished_run> pool::finish(core::exchange_id exchange, run_end end)
{
    const auto found = running_.find(exchange);
    if (found == running_.end())
        return std::nullopt;
    const auto now = time_.now();
    auto& server = servers_.all().at(found->second);
    const auto request = server.find(exchange)->request;
    auto finished = server.finish(exchange, end, now);
    running_.erase(found);
    credit_.release(request.from, request.rank);
    slot_time_.finished(request.rank, now);
    if (end == run_end::answered)
        observe_run(request.rank, finished->elapsed);
    else
        slot_time_.wasted(finished->elapsed, now);
    if (solitary_run_ == exchange) {
        solitary_run_.reset();
        solitary_server_.reset();
    }
    servers_.tick(now);
    return finished;
}

std::vector<core::exchange_id> pool::preempt()
{
    if (!settings_.preemption.enabled || !owned_ || !queue_.has_ready(core::rank::urgent))
        return {};
    const auto now = time_.now();
    slot_time_.advance(now);
    // Bulk runs below the floor of their rank would restart at once and be cancelled again.
    if (below_floor(core::rank::bulk))
        return {};
    const auto waiting_urgent = queue_.ready_count(core::rank::urgent);
    return choose_runs_to_preempt(servers_, slot_time_, settings_.preemption, waiting_urgent, now);
}

void pool::observe(const server_probed& probe)
{
    if (auto* server = servers_.find(probe.server))
        server->observe(probe.reached, probe.sent, probe.report, time_.now());
}

void pool::set_leaving(const core::server_id& server, bool leaving)
{
    if (auto* found = servers_.find(server))
        found->set_listed_leaving(leaving);
}

void pool::set_peers(const std::vector<credit_peer>& peers)
{
    credit_.set_peers(peers);
    refresh_windows();
}

void pool::refresh_windows()
{
    core::per_rank<std::uint32_t> capacities{};
    for (const auto rank : core::all_ranks)
        capacities[core::index_of(rank)] = static_cast<std::uint32_t>(capacity(rank));
    credit_.refresh(capacities);
}

wire::pool_report pool::report_for(const core::instance_id& peer) const
{
    wire::pool_report report;
    report.set_service(id_.service.str());
    report.set_data_centre(id_.data_centre.str());
    report.set_slots(servers_.usable(time_.now()));
    report.set_busy(busy());
    for (const auto rank : core::all_ranks) {
        report.add_queued(static_cast<std::uint32_t>(queued(rank)));
        report.add_window(credit_.window(peer, rank));
    }
    return report;
}

core::duration pool::estimated_wait(core::rank rank, core::time_point deadline)
{
    const auto now = time_.now();
    servers_.tick(now);
    slot_time_.advance(now);
    wait_inputs inputs;
    inputs.rank = rank;
    for (const auto other : core::all_ranks) {
        const auto i = core::index_of(other);
        inputs.queued_before[i] = other == rank ? queue_.ahead_of(rank, deadline) : queue_.size(other);
        inputs.share[i] = slot_time_.share(other);
        inputs.floor[i] = settings_.ranks[i].floor;
    }
    inputs.mean_run = run_time_.mean();
    inputs.slots = servers_.usable(now);
    inputs.free = servers_.free(now);
    return estimate_wait(inputs);
}

core::duration pool::needed_time(core::rank rank, core::duration budget) const
{
    const auto& rank_run_time = run_time_of_rank_[core::index_of(rank)];
    const auto& estimate = rank_run_time.is_known() ? rank_run_time : run_time_;
    const auto from_budget = std::chrono::duration_cast<core::duration>(budget * minimum_budget_share);
    return std::max(estimate.quantile(minimum_fitting_share),
                    std::min(estimate.quantile(desired_fitting_share), from_budget));
}

std::size_t pool::queued(core::rank rank) const
{
    return queue_.size(rank) + suspects_.size(rank);
}

std::size_t pool::capacity(core::rank rank) const
{
    return static_cast<std::size_t>(
        std::ceil(settings_.ranks[core::index_of(rank)].queue_per_slot * slots()));
}

core::rank pool::pick_rank() const
{
    for (const auto rank : core::all_ranks) {
        if (queue_.has_ready(rank) && below_floor(rank))
            return rank;
    }
    for (const auto rank : core::all_ranks) {
        if (queue_.has_ready(rank))
            return rank;
    }
    return core::rank::bulk;
}

bool pool::has_ready() const
{
    return std::any_of(core::all_ranks.begin(), core::all_ranks.end(),
                       [this](core::rank rank) { return queue_.has_ready(rank); });
}

bool pool::below_floor(core::rank rank) const
{
    return slot_time_.share(rank) < settings_.ranks[core::index_of(rank)].floor * floor_margin;
}

void pool::observe_run(core::rank rank, core::duration elapsed)
{
    run_time_.observe(elapsed);
    run_time_of_rank_[core::index_of(rank)].observe(elapsed);
}

void pool::return_credit(const pool_request& request)
{
    credit_.release(request.from, request.rank);
}

std::vector<dropped_request> pool::drop(const std::vector<pool_request>& requests,
                                        core::refusal_reason reason)
{
    std::vector<dropped_request> dropped;
    dropped.reserve(requests.size());
    for (const auto& request : requests) {
        return_credit(request);
        dropped.push_back({request.exchange, request.rank, reason});
    }
    return dropped;
}

void pool::drop_expired(std::vector<dropped_request>& dropped)
{
    const auto now = time_.now();
    dropped = drop(queue_.expire(now), core::refusal_reason::expired_in_queue);
    const auto suspects = drop(suspects_.expire(now), core::refusal_reason::expired_in_queue);
    dropped.insert(dropped.end(), suspects.begin(), suspects.end());
}

void pool::start_suspect(std::vector<started_run>& runs)
{
    if (solitary_run_)
        return;
    const auto rank = std::find_if(core::all_ranks.begin(), core::all_ranks.end(),
                                   [this](core::rank candidate) { return suspects_.has_ready(candidate); });
    if (rank == core::all_ranks.end()) {
        solitary_server_.reset();
        return;
    }
    const auto now = time_.now();
    auto* server = solitary_server_ ? servers_.find(*solitary_server_) : nullptr;
    if (server == nullptr || !server->open(now))
        server = servers_.pick_for_solitary(now);
    if (server == nullptr) {
        solitary_server_.reset();
        return;
    }
    solitary_server_ = server->server().server;
    if (server->occupied() > 0 || server->free(now) == 0)
        return;
    const auto request = suspects_.pop(*rank);
    solitary_run_ = request.exchange;
    runs.push_back(start(*server, request, true));
}

const server_slots* pool::reserved_server()
{
    return solitary_server_ ? servers_.find(*solitary_server_) : nullptr;
}

started_run pool::start(server_slots& server, const pool_request& request, bool solitary)
{
    server.start(request, solitary, time_.now());
    slot_time_.started(request.rank, time_.now());
    running_.emplace(request.exchange, server.server().server);
    return {request.exchange, server.server().server, server.server().address, server.connection_limit(),
            solitary};
}

} // namespace knapweed::decision
