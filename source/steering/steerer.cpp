#include "steering/steerer.h"

#include "steering/region_plan.h"

#include <algorithm>
#include <cmath>

namespace knapweed::steering {

namespace {

/** Part of the largest shift that the limit uses; the rest is for the noise of a few hundred requests. */
constexpr double used_shift = 0.6;
/** Each instance repeats half of the allowed share of its own requests, and its share of the allowed excess;
   the other half covers windows that begin between a request and its repetition. */
constexpr double used_retry_ratio = 0.5;
constexpr double used_retry_extra = 0.9;
constexpr unsigned most_burst = 3;
constexpr double tenths = 10;

decision::retry_budget_options make_retry_options(const steerer_options& options)
{
    decision::retry_budget_options retries;
    retries.tenths_per_request = static_cast<unsigned>(options.retry_ratio * used_retry_ratio * tenths);
    retries.burst = most_burst;
    retries.buckets = 1000;
    return retries;
}

/** All requests share one bucket a service: callers have no identity here. */
const core::caller_id all_callers{"all"};

constexpr core::milliseconds plan_interval{500};
/** Time constant with which the assumed demand of a service gives way to the measured one. */
constexpr std::chrono::duration<double> assumed_demand_decay{3.0};
/** Demand that is assumed of each region at first, as part of a fair share of the whole capacity. */
constexpr double assumed_utilisation = 0.8;
/** Part of a region's capacity that is taken off when all requests planned for it find no room: the estimate
   was too high then. */
constexpr double refusal_weight = 0.6;
/** Part of its normal rate that a cold server is counted with. */
constexpr double cold_capacity = 0.3;

/** A tick that comes this late means that the process stood still. */
constexpr core::milliseconds standstill{1500};
/** After a standstill the store needs about this time to tell which servers have restarted. */
constexpr core::milliseconds distrust_after_standstill{1000};

/** A request that must not run twice goes only on a connection that the server has no reason to close yet. */
constexpr core::milliseconds longest_idle_once{2000};
constexpr core::milliseconds longest_idle_idempotent{60000};

/** A server has a few slots and a short queue; more connections would only wait. */
constexpr std::size_t most_connections_to_a_server = 16;

constexpr core::milliseconds least_retry_after{60};
constexpr core::milliseconds longest_retry_after{1000};
constexpr core::milliseconds retry_after_without_servers{300};
/** Spread of Retry-After around its value, so that callers do not return together. */
constexpr double retry_after_spread = 0.25;
/** Callers follow a Retry-After up to a third of the time that they have left. */
constexpr int caller_patience_divisor = 3;

/** Servers keep the objects of about their last 25 to 72 requests. */
constexpr std::size_t kept_objects = 50;
constexpr std::size_t most_remembered = 16;

/** A failed connection is no arrival at a server; this only bounds the time lost with several. */
constexpr std::size_t most_attempts = 4;
/** Weight of an answer's size in the expected size of its route's answers. */
constexpr double size_weight = 0.1;

/** @returns the policy of the plan's service, null when the configuration has none. */
const service_policy* service_policy_of(const request_plan& plan)
{
    const auto found = plan.policy->services.find(plan.service);
    return found == plan.policy->services.end() ? nullptr : &found->second;
}

core::rank rank_of(const route& matched)
{
    return core::all_ranks.at(std::min<std::size_t>(matched.urgency, core::number_of_ranks - 1));
}

} // namespace

steerer::steerer(steerer_options options, const core::clock& time)
    : options_(std::move(options)), time_(time), random_(options_.seed), servers_(time),
      peers_(options_.instance, time), peer_loads_(servers_, time),
      store_role_(options_.instance, options_.location.region, peers_, time),
      cold_senders_(options_.instance, options_.location.region, peers_, time), distances_(options_.location),
      retries_(make_retry_options(options_), time), last_tick_(time.now())
{}

bool steerer::apply(traffic_policy policy)
{
    if (routes_ && policy.version <= routes_->policy()->version)
        return false;
    routes_ = std::make_unique<route_table>(std::make_shared<const traffic_policy>(std::move(policy)));
    shares_.keep_only(*routes_->policy());
    return true;
}

const traffic_policy* steerer::policy() const
{
    return routes_ ? routes_->policy().get() : nullptr;
}

service_state& steerer::state_of(const core::service_id& service)
{
    const auto found = services_.find(service);
    if (found != services_.end())
        return found->second;
    const state::shift_cap cap{options_.largest_shift * used_shift, options_.shift_window};
    return services_.emplace(service, service_state(cap, time_)).first->second;
}

next_step steerer::begin(const request_facts& facts, request_plan& plan)
{
    if (!routes_)
        return refuse_step{core::refusal_reason::no_configuration, retry_after_without_servers};
    plan.policy = routes_->policy();
    plan.matched = routes_->find(facts.host, facts.path);
    if (plan.matched == nullptr)
        return refuse_step{core::refusal_reason::unknown_path, {}};
    const auto* service = shares_.next(*plan.matched);
    if (service == nullptr)
        return refuse_step{core::refusal_reason::unknown_service, retry_after_without_servers};
    plan.service = *service;
    plan.object_hash = plan.matched->object_affinity ? facts.object_hash : 0;
    plan.received = facts.received;
    plan.answer_by =
        facts.received + std::min(plan.matched->timeout, facts.time_limit.value_or(plan.matched->timeout));
    auto& state = state_of(plan.service);
    state.demand().count();
    retries_.request_received(all_callers, plan.service);
    if (state.regions().weights().empty())
        plan_regions_of(plan.service, state);
    plan.region = state.regions().next().value_or(options_.location.region);
    return choose(plan);
}

std::vector<server_pointer> steerer::allowed_servers(const request_plan& plan) const
{
    auto servers = servers_.usable(plan.service);
    const auto& allowed = plan.matched->allowed_regions;
    if (!allowed.empty()) {
        std::erase_if(servers, [&allowed](const server_pointer& server) {
            return std::find(allowed.begin(), allowed.end(), server->region()) == allowed.end();
        });
    }
    return servers;
}

choice_request steerer::make_choice_request(const request_plan& plan)
{
    const auto now = time_.now();
    choice_request request;
    request.object_hash = plan.object_hash;
    request.time_left = plan.answer_by - now;
    request.target_left = plan.received + plan.matched->target_latency - now;
    const auto& state = state_of(plan.service);
    request.run_time = state.run_time();
    request.familiar_run_time = state.familiar_run_time();
    request.unfamiliar_run_time = state.unfamiliar_run_time();
    if (const auto found = answer_kilobytes_.find(plan.matched->name); found != answer_kilobytes_.end())
        request.answer_kilobytes = found->second;
    const auto* service = service_policy_of(plan);
    const double cold_rate = service == nullptr ? 0 : service->cold_requests_per_second;
    const auto senders = max_cold_senders(cold_rate, options_.cold_multiplier, options_.cold_slack);
    request.cold_spacing = cold_start_spacing(cold_rate, std::min(peers_.known_peers() + 1, senders));
    request.may_send_to_cold = [this, senders](const backend_server& server) {
        return cold_senders_.may_send_to_cold(server, senders);
    };
    return request;
}

next_step steerer::choose(request_plan& plan)
{
    const auto request = make_choice_request(plan);
    const auto servers = allowed_servers(plan);
    std::vector<server_pointer> planned;
    std::vector<server_pointer> others;
    for (const auto& server : servers)
        (server->region() == plan.region ? planned : others).push_back(server);
    const auto first = choose_server(request, planned, plan.tried, distances_);
    if (plan.tried.empty())
        state_of(plan.service).observe_room(plan.region, std::holds_alternative<server_choice>(first));
    if (const auto* choice = std::get_if<server_choice>(&first))
        return send(plan, *choice);
    const auto elsewhere = choose_server(request, others, plan.tried, distances_);
    const auto& why = std::get<no_choice>(first);
    if (const auto* choice = std::get_if<server_choice>(&elsewhere)) {
        // A request whose region has no server at all, or that is tried again, can only go elsewhere.
        const bool needed = planned.empty() || !plan.tried.empty();
        if (needed || state_of(plan.service).regions().try_spill(rank_of(*plan.matched)))
            return send(plan, *choice);
        return give_up(plan, core::refusal_reason::shift_cap, why.shortest_wait);
    }
    return give_up(plan, why.reason, why.shortest_wait);
}

next_step steerer::send(request_plan& plan, const server_choice& choice)
{
    auto& server = *choice.server;
    attempt_record note;
    note.server = server.record().id;
    note.occupancy = server.occupancy().total();
    note.report_age = server.occupancy().report_age();
    note.expected_time = choice.expected_time;
    note.expected_wait = choice.expected_wait;
    note.home = choice.home;
    plan.attempts.push_back(std::move(note));
    plan.tried.push_back(choice.server);
    if (plan.object_hash != 0) {
        plan.attempts.back().familiar = choice.home || server.objects().contains(plan.object_hash);
        server.objects().remember(plan.object_hash, remembered_requests());
    }
    server.note_send();
    return send_step{choice.server, plan.answer_by, connection_limit(plan),
                     plan.matched->idempotent ? longest_idle_idempotent : longest_idle_once};
}

/** The own part of the latest requests of which a server keeps the objects. */
std::size_t steerer::remembered_requests() const
{
    const auto instances = peers_.known_peers_in(options_.location.region) + 1;
    return std::clamp<std::size_t>(kept_objects / instances, 1, most_remembered);
}

/** An equal share of what the server accepts from all instances together. */
std::size_t steerer::connection_limit(const request_plan& plan) const
{
    const auto* service = service_policy_of(plan);
    if (service == nullptr || service->max_connections == 0)
        return most_connections_to_a_server;
    const std::size_t share = service->max_connections / (peers_.known_peers() + 1);
    return std::clamp<std::size_t>(share, 1, most_connections_to_a_server);
}

next_step steerer::give_up(const request_plan& plan, core::refusal_reason refusal,
                           core::duration shortest_wait)
{
    if (plan.may_have_run)
        return fail_step{core::unknown_reason::connection_lost};
    const auto left = std::max<core::duration>(plan.answer_by - time_.now(), core::duration::zero());
    core::duration wait =
        refusal == core::refusal_reason::no_backend_server ? retry_after_without_servers : shortest_wait;
    wait = std::clamp<core::duration>(wait, least_retry_after, longest_retry_after);
    wait = std::min<core::duration>(wait, left / caller_patience_divisor);
    const double spread = 1 + retry_after_spread * (2 * random_.fraction() - 1);
    return refuse_step{refusal, std::chrono::duration_cast<core::duration>(wait * spread)};
}

void steerer::learn(request_plan& plan, backend_server& server, const attempt_result& result)
{
    server.occupancy().request_ended();
    if (result.outcome != attempt_outcome::timed_out && result.outcome != attempt_outcome::not_connected)
        server.note_answer();
    if (result.load)
        server.observe(*result.load);
    if (result.remaining_cold_time)
        server.cold_start().set_remaining_cold_time(*result.remaining_cold_time);
    if (plan.attempts.empty())
        return;
    auto& note = plan.attempts.back();
    note.outcome = result.outcome;
    note.taken = result.taken;
    if (result.outcome == attempt_outcome::answered && note.expected_time.count() > 0)
        server.speed().observe(result.taken, note.expected_time);
    if (result.outcome == attempt_outcome::answered)
        state_of(plan.service).confirm();
    if (result.outcome != attempt_outcome::answered || server.cold_start().is_cold())
        return;
    const bool waited = note.occupancy + 1 > server.slots() || (result.load && result.load->waiting > 0);
    const auto run = result.taken - distances_.round_trip({server.record().data_centre, server.region()});
    std::optional<bool> familiar;
    if (plan.object_hash != 0)
        familiar = note.familiar;
    if (waited) {
        const double ahead = std::max(0.0, note.occupancy + 1 - server.slots());
        state_of(plan.service).observe_waited(server.region(), run, ahead / server.slots(), familiar);
    }
    else {
        state_of(plan.service).observe_run_time(server.region(), run, familiar);
        auto& size = answer_kilobytes_.try_emplace(plan.matched->name, result.answer_kilobytes).first->second;
        size += size_weight * (result.answer_kilobytes - size);
    }
}

next_step steerer::attempt_ended(request_plan& plan, backend_server& server, const attempt_result& result)
{
    learn(plan, server, result);
    if (result.outcome != attempt_outcome::not_connected)
        ++plan.sends;
    switch (result.outcome) {
    case attempt_outcome::answered:
        server.failures().record_success();
        return deliver_step{};
    case attempt_outcome::server_failed: {
        server.failures().record_failure();
        plan.may_have_run = true;
        if (!plan.matched->idempotent)
            return deliver_step{};
        auto step = retry(plan, core::retry_reason::server_failed);
        return std::holds_alternative<send_step>(step) ? step : next_step{deliver_step{}};
    }
    case attempt_outcome::not_connected:
        server.failures().record_unreachable();
        if (const auto* service = service_policy_of(plan))
            server.cold_start().assume_cold(service->cold_time); // it may be restarting
        return retry(plan, core::retry_reason::not_sent, true);
    case attempt_outcome::not_run:
        if (!result.load || result.load->running < server.slots())
            server.failures().record_failure(); // it had room and refused all the same
        return retry(plan, core::retry_reason::server_shed);
    case attempt_outcome::wrong_server:
        server.mark_replaced();
        return retry(plan, core::retry_reason::wrong_server);
    case attempt_outcome::connection_lost:
    case attempt_outcome::answer_invalid:
        server.failures().record_failure();
        plan.may_have_run = true;
        if (plan.matched->idempotent)
            return retry(plan, result.outcome == attempt_outcome::connection_lost
                                   ? core::retry_reason::server_died
                                   : core::retry_reason::answer_invalid);
        return fail_step{result.outcome == attempt_outcome::connection_lost
                             ? core::unknown_reason::connection_lost
                             : core::unknown_reason::answer_invalid};
    case attempt_outcome::timed_out:
    case attempt_outcome::unfinished:
        break;
    }
    server.failures().record_failure();
    plan.may_have_run = true;
    return fail_step{core::unknown_reason::server_timeout};
}

next_step steerer::retry(request_plan& plan, core::retry_reason reason, bool free_of_budget)
{
    const bool sends_left = plan.sends < plan.matched->max_attempts && plan.attempts.size() < most_attempts;
    if (!sends_left)
        return give_up(plan, core::refusal_reason::server_refused, state_of(plan.service).run_time() / 2);
    if (plan.sends > 0 && !free_of_budget && !retries_.take(all_callers, plan.service))
        return give_up(plan, core::refusal_reason::retry_budget, state_of(plan.service).run_time() / 2);
    auto step = choose(plan);
    if (on_retry_ && std::holds_alternative<send_step>(step))
        on_retry_(reason);
    return step;
}

/** The sum of all bursts stays below the excess that all instances may have together. */
void steerer::share_retries()
{
    const double share =
        options_.retry_extra * used_retry_extra / static_cast<double>(peers_.known_peers() + 1);
    retries_.set_burst(std::clamp(static_cast<unsigned>(share), 1U, most_burst));
}

void steerer::attempt_abandoned(backend_server& server)
{
    server.occupancy().request_ended();
}

void steerer::answer_broke_off(backend_server& server)
{
    server.failures().record_failure();
}

core::duration steerer::tick()
{
    const auto now = time_.now();
    const auto gap = now - last_tick_;
    last_tick_ = now;
    const bool stood_still = gap > standstill;
    if (stood_still)
        servers_.assume_all_cold(distrust_after_standstill);
    peers_.tick();
    share_retries();
    store_role_.tick();
    servers_.set_store_reachable(store_role_.store_reachable());
    servers_.tick();
    peer_loads_.tick();
    const bool plan_again = now - last_plan_ >= plan_interval;
    if (plan_again)
        last_plan_ = now;
    for (auto& [service, state] : services_) {
        if (plan_again)
            plan_regions_of(service, state);
        state.regions().tick();
    }
    return stood_still ? gap : core::duration::zero();
}

double steerer::demand_in(const core::service_id& service, const core::region_id& region,
                          const service_state& state) const
{
    const double here = region == options_.location.region ? state.demand().per_second() : 0;
    return here + peers_.demand(service, region);
}

void steerer::plan_regions_of(const core::service_id& service, service_state& state)
{
    std::map<core::region_id, region_supply> supplies;
    for (const auto& [data_centre, region] : servers_.regions())
        supplies[region].region = region;
    double capacity = 0;
    for (const auto& server : servers_.usable(service)) {
        const auto& region = server->region();
        const double run_seconds = std::chrono::duration<double>(state.run_time_in(region)).count();
        const double part = (server->cold_start().is_cold() ? cold_capacity : 1) *
                            (1 - refusal_weight * state.refused_share(region));
        const double rate = part * server->slots() / run_seconds;
        supplies[server->region()].capacity += rate;
        capacity += rate;
    }
    const double assumed_weight =
        std::exp(-std::chrono::duration<double>(state.age()).count() / assumed_demand_decay.count());
    const double assumed = assumed_weight * assumed_utilisation * capacity /
                           static_cast<double>(std::max<std::size_t>(supplies.size(), 1));
    std::vector<region_supply> list;
    for (auto& [region, supply] : supplies) {
        supply.region = region;
        supply.demand = std::max(assumed, demand_in(service, region, state));
        list.push_back(supply);
    }
    state.regions().set_target(plan_regions(options_.location.region, list));
}

std::vector<instance_load::entry> steerer::own_load() const
{
    std::vector<instance_load::entry> result;
    servers_.visit([&result](const backend_server& server) {
        if (server.occupancy().own() > 0)
            result.push_back({short_hash(server), server.occupancy().own()});
    });
    std::sort(result.begin(), result.end());
    return result;
}

std::map<core::service_id, double> steerer::demand() const
{
    std::map<core::service_id, double> result;
    for (const auto& [service, state] : services_)
        result[service] = state.demand().per_second();
    return result;
}

} // namespace knapweed::steering
