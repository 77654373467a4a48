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

simulation::simulation(const firm& measured, const scenario& situation, policy kind, std::uint64_t seed)
    : firm_(measured), random_(seed), begin_(time_.now()), measured_from_(begin_ + warm_up),
      end_(measured_from_ + measured_time)
{
    for (std::size_t i = 0; i < firm_.servers.size(); ++i)
        add_centre(i, situation, kind);
}

tally simulation::run()
{
    auto next_sample = measured_from_;
    while (!events_.empty() && events_.top().when < end_) {
        const auto event = events_.top();
        events_.pop();
        while (next_sample <= event.when) {
            account(next_sample - time_.now());
            sample();
            next_sample += 1s;
        }
        account(event.when - time_.now());
        handle(event);
    }
    judge_shares();
    tally_.seconds = seconds(measured_time);
    return tally_;
}

void simulation::add_centre(std::size_t index, const scenario& situation, policy kind)
{
    decision::pool_settings settings;
    settings.id = {core::service_id{"measured"}, core::data_centre_id{std::to_string(index)}};
    for (std::size_t i = 0; i < firm_.servers[index]; ++i) {
        settings.servers.push_back(
            {core::server_id{std::to_string(i)}, "10.0.0.1:80", firm_.slots, 360, false});
    }
    centre_state centre;
    centre.owner = make_scheduler(kind, settings, time_);
    centre.active.resize(firm_.servers[index]);
    centre.slots = firm_.servers[index] * firm_.slots;
    centre.gone = situation.gone == index;
    for (const auto rank : core::all_ranks) {
        const auto i = core::index_of(rank);
        centre.arrivals_per_second[i] =
            situation.load[i] * static_cast<double>(centre.slots) / mean_run_seconds(firm_, rank);
    }
    centres_.push_back(std::move(centre));
    for (const auto rank : core::all_ranks)
        push(0ns, event_kind::arrival, core::index_of(rank), index);
    for (std::size_t i = 0; i < firm_.servers[index]; ++i)
        push(probe_interval, event_kind::probe, i, index);
}

void simulation::push(core::duration delay, event_kind what, std::size_t subject, std::size_t centre,
                      unsigned attempt)
{
    events_.push({time_.now() + delay, next_order_++, what, subject, centre, attempt});
}

void simulation::handle(const happening& event)
{
    const auto current = [&] { return jobs_[event.subject].attempt == event.attempt; };
    switch (event.what) {
    case event_kind::arrival:
        on_arrival(core::all_ranks[event.subject], event.centre);
        break;
    case event_kind::at_pool:
        on_pool(event.subject);
        break;
    case event_kind::at_server:
        if (current())
            on_server(event.subject);
        break;
    case event_kind::server_done:
        if (current())
            on_server_done(event.subject);
        break;
    case event_kind::answer:
        if (current())
            end_run(event.subject, run_end::answered);
        break;
    case event_kind::deadline:
        if (current())
            end_run(event.subject, run_end::timed_out);
        break;
    case event_kind::cancel_at_server:
        --centres_[event.centre].active[event.subject];
        break;
    case event_kind::probe:
        on_probe(event.subject, event.centre);
        break;
    case event_kind::report:
        centres_[event.centre].owner->observe({core::service_id{"measured"},
                                               core::server_id{std::to_string(event.subject)},
                                               true,
                                               time_.now() - 2 * probe_latency,
                                               {true, false, event.attempt}});
        poll(event.centre);
        break;
    }
}

void simulation::account(core::duration step)
{
    const bool measured = time_.now() >= measured_from_;
    time_.advance(step);
    const double passed = seconds(step);
    for (auto& centre : centres_) {
        if (!measured || centre.gone)
            continue;
        std::size_t busy = 0;
        for (std::size_t i = 0; i < core::number_of_ranks; ++i) {
            const double used = passed * static_cast<double>(centre.running[i]);
            centre.used_seconds[i] += used;
            tally_.ranks[i].slot_seconds += used;
            busy += centre.running[i];
        }
        if (centre.owner->queued() == 0)
            continue;
        tally_.held_seconds += passed;
        tally_.idle_held_seconds += busy < centre.slots ? passed : 0;
        tally_.held_slot_seconds += passed * static_cast<double>(centre.slots);
        tally_.held_busy_seconds += passed * static_cast<double>(busy);
    }
}

void simulation::on_arrival(core::rank rank, std::size_t home)
{
    const auto i = core::index_of(rank);
    push(from_seconds(-std::log1p(-random_.fraction()) / centres_[home].arrivals_per_second[i]),
         event_kind::arrival, i, home);
    simulated_job created;
    created.rank = rank;
    created.created = time_.now();
    created.timeout = firm_.work[i].timeout;
    created.run = from_seconds(seconds(firm_.work[i].median) * std::exp(firm_.sigma * normal()));
    created.centre = centre_for(home);
    created.way = firm_.client_latency + local_latency;
    if (created.centre != home)
        created.way += created.centre / 2 == home / 2 ? firm_.data_centre_latency : firm_.region_latency;
    if (counts(created))
        ++tally_.ranks[i].offered;
    jobs_.push_back(created);
    push(created.way, event_kind::at_pool, jobs_.size() - 1, created.centre);
}

void simulation::on_pool(std::size_t index)
{
    const auto& job = jobs_[index];
    decision::pool_request request;
    request.exchange = {index};
    request.from = core::instance_id{"e1"};
    request.rank = job.rank;
    request.deadline = job.created + job.timeout - job.way;
    request.idempotent = true;
    request.fingerprint = {index};
    if (centres_[job.centre].owner->offer(request))
        refuse(job);
    poll(job.centre);
}

void simulation::on_server(std::size_t index)
{
    auto& job = jobs_[index];
    auto& active = centres_[job.centre].active[job.server];
    job.on_server = true;
    if (++active > firm_.slots)
        ++tally_.overloads;
    push(job.run, event_kind::server_done, index, job.centre, job.attempt);
}

void simulation::on_server_done(std::size_t index)
{
    auto& job = jobs_[index];
    job.on_server = false;
    --centres_[job.centre].active[job.server];
    push(local_latency, event_kind::answer, index, job.centre, job.attempt);
}

void simulation::end_run(std::size_t index, run_end end)
{
    auto& job = jobs_[index];
    auto& centre = centres_[job.centre];
    ++job.attempt;
    job.running = false;
    --centre.running[core::index_of(job.rank)];
    if (job.on_server)
        push(local_latency, event_kind::cancel_at_server, job.server, job.centre);
    job.on_server = false;
    auto& rank = tally_.ranks[core::index_of(job.rank)];
    if (end != run_end::answered && time_.now() >= measured_from_)
        tally_.wasted_slot_seconds += seconds(time_.now() - job.started);
    if (counts(job) && end == run_end::timed_out)
        ++rank.timed_out;
    if (counts(job) && end == run_end::answered) {
        ++rank.answered;
        rank.latency_ms.push_back(static_cast<float>(seconds(time_.now() + job.way - job.created) * 1e3));
    }
    centre.owner->finish({index}, end);
    if (end != run_end::cancelled)
        poll(job.centre);
}

void simulation::cancel(std::size_t index)
{
    ++tally_.preempted;
    end_run(index, run_end::cancelled);
    push(0ns, event_kind::at_pool, index, jobs_[index].centre);
}

void simulation::on_probe(std::size_t server, std::size_t centre)
{
    push(2 * probe_latency, event_kind::report, server, centre, centres_[centre].active[server]);
    push(probe_interval, event_kind::probe, server, centre);
}

void simulation::poll(std::size_t centre)
{
    auto& state = centres_[centre];
    const auto turn = state.owner->schedule();
    for (const auto& dropped : turn.dropped)
        refuse(jobs_[dropped.exchange.value]);
    for (const auto& run : turn.started) {
        auto& job = jobs_[run.exchange.value];
        job.started = time_.now();
        job.server = std::stoul(run.server.str());
        job.running = true;
        ++state.running[core::index_of(job.rank)];
        push(local_latency, event_kind::at_server, run.exchange.value, centre, job.attempt);
        push(job.created + job.timeout - job.way - time_.now(), event_kind::deadline, run.exchange.value,
             centre, job.attempt);
    }
    for (const auto exchange : state.owner->preempt())
        cancel(exchange.value);
}

void simulation::refuse(const simulated_job& refused)
{
    if (counts(refused))
        ++tally_.ranks[core::index_of(refused.rank)].refused;
}

void simulation::sample()
{
    for (auto& centre : centres_)
        centre.samples.push_back(centre.used_seconds);
}

void simulation::judge_shares()
{
    for (const auto& centre : centres_) {
        for (std::size_t at = floor_window_samples; !centre.gone && at < centre.samples.size(); ++at) {
            core::per_rank<double> used{};
            double sum = 0;
            for (std::size_t i = 0; i < core::number_of_ranks; ++i) {
                used[i] = centre.samples[at][i] - centre.samples[at - floor_window_samples][i];
                sum += used[i];
            }
            for (std::size_t i = 0; i < core::number_of_ranks && sum > 0; ++i)
                tally_.ranks[i].least_share = std::min(tally_.ranks[i].least_share, used[i] / sum);
        }
    }
}

bool simulation::counts(const simulated_job& each) const
{
    // Requests near the end have no time left to be answered.
    return each.created >= measured_from_ && each.created + each.timeout < end_;
}

std::size_t simulation::centre_for(std::size_t home)
{
    while (centres_[home].gone)
        home = random_.below(centres_.size());
    return home;
}

double simulation::normal()
{
    const double radius = std::sqrt(-2 * std::log1p(-random_.fraction()));
    return radius * std::cos(2 * std::numbers::pi * random_.fraction());
}

} // namespace knapweed::measure
