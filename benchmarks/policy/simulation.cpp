#include "policy/simulation.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace knapweed::measure {

using namespace std::chrono_literals;
using decision::run_end;

namespace {

constexpr core::duration warm_up = 15s;
constexpr core::duration measured_time = 60s;
constexpr std::size_t floor_window_samples = 10;
/** One-way latency between two machines of one data centre. */
constexpr core::duration local_latency = 100us;
constexpr core::duration probe_interval = 500ms;
constexpr core::duration probe_latency = 3ms;

double seconds(core::duration value)
{
    return std::chrono::duration<double>(value).count();
}

core::duration from_seconds(double value)
{
    return std::chrono::duration_cast<core::duration>(std::chrono::duration<double>(value));
}

} // namespace

simulation::simulation(const firm& measured_firm, const scenario& situation, policy kind, std::uint64_t seed)
    : firm_(measured_firm), random_(seed), begin_(time_.now()), measured_from_(begin_ + warm_up),
      end_(measured_from_ + measured_time)
{
    for (std::size_t i = 0; i < firm_.servers.size(); ++i)
        add_data_centre(i, situation, kind);
}

tally simulation::run()
{
    auto next_sample = measured_from_;
    while (!events_.empty() && events_.top().time < end_) {
        const auto event = events_.top();
        events_.pop();
        while (next_sample <= event.time) {
            advance_time(next_sample - time_.now());
            sample();
            next_sample += 1s;
        }
        advance_time(event.time - time_.now());
        handle(event);
    }
    compute_minimum_shares();
    tally_.seconds = seconds(measured_time);
    return tally_;
}

void simulation::add_data_centre(std::size_t index, const scenario& situation, policy kind)
{
    decision::pool_settings settings;
    settings.id = {core::service_id{"measured"}, core::data_centre_id{std::to_string(index)}};
    for (std::size_t i = 0; i < firm_.servers[index]; ++i) {
        settings.servers.push_back(
            {core::server_id{std::to_string(i)}, "10.0.0.1:80", firm_.slots, 360, false});
    }
    data_centre_state data_centre;
    data_centre.owner = make_scheduler(kind, settings, time_);
    data_centre.active.resize(firm_.servers[index]);
    data_centre.slots = firm_.servers[index] * firm_.slots;
    data_centre.lost = situation.lost_data_centre == index;
    for (const auto rank : core::all_ranks) {
        const auto i = core::index_of(rank);
        data_centre.arrivals_per_second[i] =
            situation.load[i] * static_cast<double>(data_centre.slots) / mean_run_seconds(firm_, rank);
    }
    data_centres_.push_back(std::move(data_centre));
    for (const auto rank : core::all_ranks)
        push(0ns, event_kind::arrival, core::index_of(rank), index);
    for (std::size_t i = 0; i < firm_.servers[index]; ++i)
        push(probe_interval, event_kind::probe, i, index);
}

void simulation::push(core::duration delay, event_kind kind, std::size_t target_index,
                      std::size_t data_centre, unsigned attempt)
{
    events_.push({time_.now() + delay, next_order_++, kind, target_index, data_centre, attempt});
}

void simulation::handle(const scheduled_event& event)
{
    const auto is_current = [&] { return requests_[event.target_index].attempt == event.attempt; };
    switch (event.kind) {
    case event_kind::arrival:
        on_arrival(core::all_ranks[event.target_index], event.data_centre);
        break;
    case event_kind::at_pool:
        on_pool(event.target_index);
        break;
    case event_kind::at_server:
        if (is_current())
            on_server(event.target_index);
        break;
    case event_kind::server_done:
        if (is_current())
            on_server_done(event.target_index);
        break;
    case event_kind::answer:
        if (is_current())
            end_run(event.target_index, run_end::answered);
        break;
    case event_kind::deadline:
        if (is_current())
            end_run(event.target_index, run_end::timed_out);
        break;
    case event_kind::cancel_at_server:
        --data_centres_[event.data_centre].active[event.target_index];
        break;
    case event_kind::probe:
        on_probe(event.target_index, event.data_centre);
        break;
    case event_kind::report:
        data_centres_[event.data_centre].owner->observe({core::service_id{"measured"},
                                                         core::server_id{std::to_string(event.target_index)},
                                                         true,
                                                         time_.now() - 2 * probe_latency,
                                                         {true, false, event.attempt}});
        schedule_runs(event.data_centre);
        break;
    }
}

void simulation::advance_time(core::duration step)
{
    const bool measured = time_.now() >= measured_from_;
    time_.advance(step);
    const double elapsed_seconds = seconds(step);
    for (auto& data_centre : data_centres_) {
        if (!measured || data_centre.lost)
            continue;
        std::size_t busy = 0;
        for (std::size_t i = 0; i < core::number_of_ranks; ++i) {
            const double used = elapsed_seconds * static_cast<double>(data_centre.running[i]);
            data_centre.used_seconds[i] += used;
            tally_.ranks[i].slot_seconds += used;
            busy += data_centre.running[i];
        }
        if (data_centre.owner->queued() == 0)
            continue;
        tally_.backlog_seconds += elapsed_seconds;
        tally_.backlog_idle_seconds += busy < data_centre.slots ? elapsed_seconds : 0;
        tally_.backlog_slot_seconds += elapsed_seconds * static_cast<double>(data_centre.slots);
        tally_.backlog_busy_seconds += elapsed_seconds * static_cast<double>(busy);
    }
}

void simulation::on_arrival(core::rank rank, std::size_t home)
{
    const auto i = core::index_of(rank);
    push(from_seconds(-std::log1p(-random_.fraction()) / data_centres_[home].arrivals_per_second[i]),
         event_kind::arrival, i, home);
    simulated_request created;
    created.rank = rank;
    created.created = time_.now();
    created.timeout = firm_.work[i].timeout;
    created.run = from_seconds(seconds(firm_.work[i].median) * std::exp(firm_.sigma * normal()));
    created.data_centre = data_centre_for(home);
    created.one_way_latency = firm_.client_latency + local_latency;
    if (created.data_centre != home)
        created.one_way_latency +=
            created.data_centre / 2 == home / 2 ? firm_.data_centre_latency : firm_.region_latency;
    if (is_measured(created))
        ++tally_.ranks[i].offered;
    requests_.push_back(created);
    push(created.one_way_latency, event_kind::at_pool, requests_.size() - 1, created.data_centre);
}

void simulation::on_pool(std::size_t index)
{
    const auto& job = requests_[index];
    decision::pool_request request;
    request.exchange = {index};
    request.from = core::instance_id{"e1"};
    request.rank = job.rank;
    request.deadline = job.created + job.timeout - job.one_way_latency;
    request.idempotent = true;
    request.fingerprint = {index};
    if (data_centres_[job.data_centre].owner->offer(request))
        refuse(job);
    schedule_runs(job.data_centre);
}

void simulation::on_server(std::size_t index)
{
    auto& job = requests_[index];
    auto& active = data_centres_[job.data_centre].active[job.server];
    job.on_server = true;
    if (++active > firm_.slots)
        ++tally_.overloads;
    push(job.run, event_kind::server_done, index, job.data_centre, job.attempt);
}

void simulation::on_server_done(std::size_t index)
{
    auto& job = requests_[index];
    job.on_server = false;
    --data_centres_[job.data_centre].active[job.server];
    push(local_latency, event_kind::answer, index, job.data_centre, job.attempt);
}

void simulation::end_run(std::size_t index, run_end end)
{
    auto& job = requests_[index];
    auto& data_centre = data_centres_[job.data_centre];
    ++job.attempt;
    job.running = false;
    --data_centre.running[core::index_of(job.rank)];
    if (job.on_server)
        push(local_latency, event_kind::cancel_at_server, job.server, job.data_centre);
    job.on_server = false;
    auto& rank = tally_.ranks[core::index_of(job.rank)];
    if (end != run_end::answered && time_.now() >= measured_from_)
        tally_.wasted_slot_seconds += seconds(time_.now() - job.started);
    if (is_measured(job) && end == run_end::timed_out)
        ++rank.timed_out;
    if (is_measured(job) && end == run_end::answered) {
        ++rank.answered;
        rank.latency_ms.push_back(
            static_cast<float>(seconds(time_.now() + job.one_way_latency - job.created) * 1e3));
    }
    data_centre.owner->finish({index}, end);
    if (end != run_end::cancelled)
        schedule_runs(job.data_centre);
}

void simulation::cancel(std::size_t index)
{
    ++tally_.preempted;
    end_run(index, run_end::cancelled);
    push(0ns, event_kind::at_pool, index, requests_[index].data_centre);
}

void simulation::on_probe(std::size_t server, std::size_t data_centre)
{
    push(2 * probe_latency, event_kind::report, server, data_centre,
         data_centres_[data_centre].active[server]);
    push(probe_interval, event_kind::probe, server, data_centre);
}

void simulation::schedule_runs(std::size_t data_centre)
{
    auto& state = data_centres_[data_centre];
    const auto result = state.owner->schedule();
    for (const auto& dropped : result.dropped)
        refuse(requests_[dropped.exchange.value]);
    for (const auto& run : result.started) {
        auto& job = requests_[run.exchange.value];
        job.started = time_.now();
        job.server = std::stoul(run.server.str());
        job.running = true;
        ++state.running[core::index_of(job.rank)];
        push(local_latency, event_kind::at_server, run.exchange.value, data_centre, job.attempt);
        push(job.created + job.timeout - job.one_way_latency - time_.now(), event_kind::deadline,
             run.exchange.value, data_centre, job.attempt);
    }
    for (const auto exchange : state.owner->preempt())
        cancel(exchange.value);
}

void simulation::refuse(const simulated_request& refused)
{
    if (is_measured(refused))
        ++tally_.ranks[core::index_of(refused.rank)].refused;
}

void simulation::sample()
{
    for (auto& data_centre : data_centres_)
        data_centre.samples.push_back(data_centre.used_seconds);
}

void simulation::compute_minimum_shares()
{
    for (const auto& data_centre : data_centres_) {
        for (std::size_t end_sample = floor_window_samples;
             !data_centre.lost && end_sample < data_centre.samples.size(); ++end_sample) {
            core::per_rank<double> used{};
            double sum = 0;
            for (std::size_t i = 0; i < core::number_of_ranks; ++i) {
                used[i] = data_centre.samples[end_sample][i] -
                          data_centre.samples[end_sample - floor_window_samples][i];
                sum += used[i];
            }
            for (std::size_t i = 0; i < core::number_of_ranks && sum > 0; ++i)
                tally_.ranks[i].minimum_share = std::min(tally_.ranks[i].minimum_share, used[i] / sum);
        }
    }
}

bool simulation::is_measured(const simulated_request& request) const
{
    // Requests whose timeout extends past the end of the simulation may remain unanswered.
    return request.created >= measured_from_ && request.created + request.timeout < end_;
}

std::size_t simulation::data_centre_for(std::size_t home)
{
    while (data_centres_[home].lost)
        home = random_.below(data_centres_.size());
    return home;
}

double simulation::normal()
{
    const double radius = std::sqrt(-2 * std::log1p(-random_.fraction()));
    return radius * std::cos(2 * std::numbers::pi * random_.fraction());
}

} // namespace knapweed::measure
