#include "steering/steerer.h"

#include "steering/instance_limits.h"
#include "steering/retry_time.h"

#include <algorithm>

namespace knapweed::steering {

namespace {

/** Part of `largest_shift` that the limiter may use. The rest allows for random variation, which is large in
   windows of a few hundred requests. */
constexpr double usable_shift_share = 0.6;

/** A longer interval between two ticks means that the process stalled, for instance because it was paused. */
constexpr core::milliseconds stall_threshold{1500};
/** After a stall it takes about this time until the store has reported which servers have restarted. */
constexpr core::milliseconds assumed_cold_after_stall{1000};

/** A request that must not run twice uses only a connection that was in use recently, since a server may
   close an idle connection just when the request is sent. */
constexpr core::milliseconds max_idle_non_idempotent{2000};
constexpr core::milliseconds max_idle_idempotent{60000};

/** Callers of a quarantined request are not asked to come back soon. */
constexpr core::milliseconds retry_after_quarantine{1000};

/** A caller of an account without tokens is not asked to come back at once. */
constexpr core::milliseconds min_quota_wait{100};

core::rank rank_of(const request_plan& plan)
{
    return core::all_ranks.at(std::min<std::size_t>(plan.urgency(), core::number_of_ranks - 1));
}

} // namespace

steerer::steerer(steerer_options options, const core::clock& time)
    : options_(std::move(options)), time_(time), random_(options_.seed), servers_(time),
      peers_(options_.instance, options_.location.region, time), peer_loads_(servers_, time),
      store_role_(options_.instance, options_.location.region, peers_, time, options_.capacity),
      copy_sources_(options_.location.region, peers_, store_role_, time, options_.seed),
      fanout_(options_.instance, options_.location.region, options_.capacity, peers_, time),
      account_loads_(options_.instance, options_.location.region, peers_, fanout_, time),
      quotas_(options_.quota_margin, time, options_.seed),
      cold_senders_(options_.instance, options_.location.region, peers_, time), distances_(options_.location),
      relay_(options_.location, options_.capacity, servers_, peers_, time, options_.seed),
      planner_(options_.location.region, servers_, peers_),
      retries_(options_.retry_ratio, options_.retry_extra, time), quarantine_(time),
      limits_(options_.instance, options_.location.region, servers_, peers_, time),
      notices_(servers_, time, options_.seed),
      services_({options_.largest_shift * usable_shift_share, options_.shift_window}, time),
      last_tick_(time.now())
{}

bool steerer::apply(traffic_policy policy)
{
    if (routes_ && !supersedes(policy, *routes_->policy()))
        return false;
    routes_ = std::make_unique<route_table>(std::make_shared<const traffic_policy>(std::move(policy)));
    shares_.keep_only(*routes_->policy());
    const auto& accounts = routes_->policy()->accounts;
    quotas_.set_accounts(accounts ? &*accounts : nullptr, peers_.known_peers() + 1);
    return true;
}

const traffic_policy* steerer::policy() const
{
    return routes_ ? routes_->policy().get() : nullptr;
}

service_state& steerer::state_of(const request_plan& plan)
{
    return services_.state_of(plan.service, *plan.matched);
}

next_step steerer::begin(const request_facts& facts, request_plan& plan)
{
    if (!routes_)
        return refuse_step{core::refusal_reason::no_configuration, retry_after_without_servers};
    plan.policy = routes_->policy();
    plan.matched = routes_->find(facts.host, facts.path);
    if (plan.matched == nullptr) {
        // The path may belong to a route of the newer configuration.
        if (store_role_.is_outdated(replicated_table::operators))
            return refuse_step{core::refusal_reason::configuration_outdated, retry_after_without_servers};
        return refuse_step{core::refusal_reason::unknown_path, {}};
    }
    if (const auto refused = authorise(facts.api_key, plan))
        return *refused;
    plan.identity = facts.identity;
    plan.received = facts.received;
    plan.answer_by =
        facts.received + std::min(plan.matched->timeout, facts.time_limit.value_or(plan.matched->timeout));
    plan.relayed_sends = facts.relayed_sends;
    // A request that might have to be cut at the exit is served better by another instance.
    if (facts.answers_due && plan.answer_by > *facts.answers_due)
        return refuse_step{core::refusal_reason::leaving, retry_after_at_other_instance};
    if (quarantine_.refuses(plan))
        return refuse_or_fail(plan, core::refusal_reason::quarantined, retry_after_quarantine);
    if (relay_.links().is_cut()) {
        if (plan.relayed_sends)
            return refuse_or_fail(plan, core::refusal_reason::no_backend_server, core::duration::zero());
        // A request can wait behind others of its caller until its time limit has passed.
        if (time_.now() >= plan.answer_by)
            return refuse_or_fail(plan, core::refusal_reason::deadline_unmeetable, core::duration::zero());
        // The other instance counts the request among its own, and chooses its service.
        if (auto step = relay_.start(plan))
            return *step;
    }
    if (plan.account != nullptr) {
        if (const auto wait = quotas_.request_received(*plan.account))
            return refuse_step{core::refusal_reason::quota_exceeded,
                               std::max<core::duration>(*wait, min_quota_wait)};
    }
    const auto* service = shares_.next(*plan.matched);
    if (service == nullptr)
        return refuse_step{core::refusal_reason::unknown_service, retry_after_without_servers};
    plan.service = *service;
    plan.object_hash = plan.matched->object_affinity ? facts.object_hash : 0;
    auto& state = state_of(plan);
    state.demand().record_arrival();
    retries_.request_received(plan.service);
    if (state.regions().weights().empty())
        planner_.plan(plan.service, state);
    plan.region = region_for(plan, state);
    return choose(plan);
}

core::duration steerer::round_trip_to(const core::region_id& region) const
{
    std::optional<core::duration> shortest;
    for (const auto& [data_centre, its_region] : servers_.regions()) {
        if (its_region != region)
            continue;
        const auto round_trip = distances_.round_trip({data_centre, its_region});
        shortest = std::min(shortest.value_or(round_trip), round_trip);
    }
    return shortest.value_or(core::duration::zero());
}

core::region_id steerer::region_for(const request_plan& plan, service_state& state)
{
    const auto& own = options_.location.region;
    auto planned = state.regions().next().value_or(own);
    const auto far = planned == own ? state.busiest_other_region(own) : planned;
    if (far.empty())
        return planned;
    const auto run_time = state.decayed(answers_.run_times(*plan.matched).mean());
    const auto to_target = plan.received + plan.matched->target_latency - time_.now();
    const double near_chance =
        admission::chance_in_time(run_time, distances_.round_trip(options_.location), to_target);
    const double far_chance = admission::chance_in_time(run_time, round_trip_to(far), to_target);
    state.record_timeliness(near_chance, far_chance);
    const double gain = (near_chance - far_chance) / std::chrono::duration<double>(run_time).count();
    return state.exchange().choose(planned, own, far, gain);
}

std::optional<refuse_step> steerer::authorise(std::string_view api_key, request_plan& plan) const
{
    plan.allowed_regions = plan.matched->allowed_regions;
    if (!plan.policy->accounts || plan.matched->authentication_exempt)
        return std::nullopt;
    plan.account = plan.policy->accounts->find_by_key(api_key);
    if (plan.account == nullptr) {
        // The key may belong to an account of the newer configuration.
        if (store_role_.is_outdated(replicated_table::operators))
            return refuse_step{core::refusal_reason::configuration_outdated, retry_after_without_servers};
        return refuse_step{core::refusal_reason::unknown_api_key, {}};
    }
    const auto& of_account = plan.account->allowed_regions;
    if (of_account.empty())
        return std::nullopt;
    if (plan.allowed_regions.empty()) {
        plan.allowed_regions = of_account;
        return std::nullopt;
    }
    std::erase_if(plan.allowed_regions, [&of_account](const core::region_id& region) {
        return std::find(of_account.begin(), of_account.end(), region) == of_account.end();
    });
    if (plan.allowed_regions.empty())
        return refuse_step{core::refusal_reason::no_backend_server, {}};
    return std::nullopt;
}

choice_request steerer::make_choice_request(const request_plan& plan)
{
    const auto now = time_.now();
    choice_request request;
    request.object_hash = plan.object_hash;
    request.random = random_.next();
    request.time_left = plan.answer_by - now;
    request.time_to_target = plan.received + plan.matched->target_latency - now;
    const auto& state = state_of(plan);
    const auto& of_route = answers_.run_times(*plan.matched);
    request.run_time = state.decayed(of_route.mean());
    request.familiar_run_time = state.decayed(of_route.familiar());
    request.unfamiliar_run_time = state.decayed(of_route.unfamiliar());
    request.queued_run_time = state.run_time();
    request.longest_run_time = state.unfamiliar_run_time();
    if (const auto kilobytes = answers_.kilobytes(plan.matched->name))
        request.answer_kilobytes = *kilobytes;
    const auto* service = plan.policy_of_service();
    const double cold_rate = service == nullptr ? 0 : service->cold_requests_per_second;
    const auto senders = max_cold_senders(cold_rate, options_.cold_multiplier, options_.cold_slack);
    request.cold_spacing = cold_start_spacing(cold_rate, std::min(peers_.known_peers() + 1, senders));
    request.may_send_to_cold = [this, senders](const backend_server& server) {
        return cold_senders_.may_send_to_cold(server, senders);
    };
    request.limit_wait = [this, &plan, demand = state.demand().per_second()](const backend_server& server) {
        const bool yields = !routes_->is_most_urgent(plan.urgency(), plan.service);
        return server.limit().wait(limits_.share_of(server, demand), yields);
    };
    return request;
}

next_step steerer::choose(request_plan& plan)
{
    const auto request = make_choice_request(plan);
    const auto servers = servers_.usable(plan.service, plan.allowed_regions);
    std::vector<server_pointer> planned;
    std::vector<server_pointer> others;
    for (const auto& server : servers)
        (server->region() == plan.region ? planned : others).push_back(server);
    const auto in_region = choose_server(request, planned, plan.tried, distances_);
    if (plan.tried.empty())
        state_of(plan).record_room(plan.region, std::holds_alternative<server_choice>(in_region));
    if (const auto* choice = std::get_if<server_choice>(&in_region))
        return send(plan, *choice);
    const auto in_other_regions = choose_server(request, others, plan.tried, distances_);
    const auto& failure = std::get<no_choice>(in_region);
    const bool is_suspended = failure.reason == core::refusal_reason::no_backend_server;
    if (is_suspended && relay_.links().state() != link_state::sound && !plan.may_have_run) {
        if (auto step = relay_.start(plan))
            return *step;
    }
    if (const auto* choice = std::get_if<server_choice>(&in_other_regions)) {
        // The shift limit does not apply to a request whose planned region has no server, nor to a retry.
        const bool exempt_from_limit = planned.empty() || !plan.tried.empty();
        if (exempt_from_limit || state_of(plan).regions().try_spill(rank_of(plan)))
            return send(plan, *choice);
        return refuse_or_fail(plan, core::refusal_reason::shift_cap, failure.shortest_wait);
    }
    return refuse_or_fail(plan, failure.reason, failure.shortest_wait);
}

next_step steerer::send(request_plan& plan, const server_choice& choice)
{
    auto& server = *choice.server;
    attempt_record attempt;
    attempt.server = server.record().id;
    attempt.occupancy = server.occupancy().total();
    attempt.report_age = server.occupancy().report_age();
    attempt.expected_time = choice.expected_time;
    attempt.expected_wait = choice.expected_wait;
    attempt.home = choice.home;
    plan.attempts.push_back(std::move(attempt));
    plan.tried.push_back(choice.server);
    if (plan.object_hash != 0) {
        plan.attempts.back().familiar = choice.home || server.objects().contains(plan.object_hash);
        server.objects().add(plan.object_hash,
                             recent_object_limit(peers_.known_peers_in(options_.location.region) + 1));
    }
    server.record_send();
    if (plan.account != nullptr && plan.attempts.size() == 1)
        quotas_.request_sent(*plan.account);
    if (server.limit().per_second())
        server.limit().request_sent(limits_.share_of(server, state_of(plan).demand().per_second()));
    return send_step{choice.server, plan.answer_by,
                     connection_limit(plan.policy_of_service(), peers_.known_peers() + 1),
                     plan.matched->idempotent ? max_idle_idempotent : max_idle_non_idempotent};
}

next_step steerer::refuse_or_fail(const request_plan& plan, core::refusal_reason refusal,
                                  core::duration shortest_wait)
{
    if (plan.may_have_run)
        return fail_step{core::unknown_reason::connection_lost};
    const auto wait =
        refusal == core::refusal_reason::no_backend_server ? retry_after_without_servers : shortest_wait;
    return refuse_step{refusal, retry_time(wait, plan.answer_by - time_.now(), random_)};
}

core::duration steerer::tick()
{
    const auto now = time_.now();
    const auto gap = now - last_tick_;
    last_tick_ = now;
    const bool stalled = gap > stall_threshold;
    if (stalled)
        servers_.assume_all_cold(assumed_cold_after_stall);
    peers_.tick();
    retries_.set_instances(peers_.known_peers() + 1);
    store_role_.tick();
    fanout_.tick(store_role_.is_leaving());
    const bool most_reach_store = store_role_.store_reachable();
    servers_.update_store_paths([this, most_reach_store](const core::region_id& region) {
        return most_reach_store || store_role_.reaches_store(region);
    });
    servers_.tick(policy());
    peer_loads_.tick();
    update_quotas();
    relay_.tick([this](const core::service_id& service) { return services_.unfamiliar_run_time(service); });
    services_.tick(planner_);
    return stalled ? gap : core::duration::zero();
}

void steerer::update_quotas()
{
    account_loads_.tick();
    if (!quotas_.is_active())
        return;
    if (const auto others = account_loads_.others())
        quotas_.set_others(*others, peers_.known_peers() + 1);
    quotas_.tick();
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

region_summary steerer::region_sum() const
{
    region_summary summary;
    summary.instances = peers_.known_peers_in(options_.location.region) + 1;
    summary.demand = demand();
    for (auto& [service, rate] : summary.demand)
        rate += peers_.demand(service, options_.location.region);
    return summary;
}

} // namespace knapweed::steering
