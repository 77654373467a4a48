#include "steering/request_relay.h"

#include <algorithm>

namespace knapweed::steering {

namespace {

/** A second instance is asked only if the first can't be connected. */
constexpr std::size_t max_relays_per_request = 2;
/** Requests of other instances that an instance accepts at the same time, so that a cut at one place is no
   overload at another. */
constexpr double relayed_requests_per_core = 160;
constexpr std::size_t min_relayed_requests = 8;
/** A server's answer is overdue after this many run times and the allowance. */
constexpr int overdue_runs = 2;
constexpr core::milliseconds overdue_allowance{200};
/** Maximum idle time of a connection to another instance that a request may reuse. The other instance could
   close a connection that has been idle for long just when a request is sent. */
constexpr core::milliseconds max_idle_idempotent{4000};
constexpr core::milliseconds max_idle_non_idempotent{2000};

} // namespace

request_relay::request_relay(const network_location& own, double capacity, const server_catalogue& servers,
                             const peer_table& peers, const core::clock& time, std::uint64_t seed)
    : capacity_(capacity), servers_(servers), links_(own.data_centre, servers, time, seed),
      instances_(own.region, peers, time, seed)
{}

void request_relay::record_attempt(const backend_server& server, const attempt_result& result)
{
    switch (result.outcome) {
    case attempt_outcome::not_connected:
        if (result.connecting != connect_failure::none && result.connecting != connect_failure::limited)
            links_.record_failed_connection(server.record().id);
        break;
    case attempt_outcome::answered:
    case attempt_outcome::server_failed:
    case attempt_outcome::not_run:
    case attempt_outcome::wrong_server:
        links_.record_answer(server.record().id);
        break;
    case attempt_outcome::connection_lost:
    case attempt_outcome::answer_invalid:
    case attempt_outcome::timed_out:
    case attempt_outcome::unfinished:
        break;
    }
}

void request_relay::tick(const run_time_lookup& run_time_of)
{
    std::size_t silent = 0;
    servers_.visit([&](const backend_server& server) {
        const auto unanswered = server.unanswered_time();
        if (unanswered < overdue_allowance)
            return;
        const auto run_time = run_time_of(server.record().service);
        if (run_time && unanswered >= *run_time * overdue_runs + overdue_allowance)
            ++silent;
    });
    links_.record_silent_servers(silent);
}

std::optional<relay_step> request_relay::start(request_plan& plan)
{
    if (plan.relayed_sends || plan.relays.size() >= max_relays_per_request ||
        plan.sends >= plan.matched->max_attempts)
        return std::nullopt;
    std::vector<core::instance_id> tried;
    for (const auto& earlier : plan.relays)
        tried.push_back(earlier.instance);
    auto chosen = instances_.choose(plan.allowed_regions, tried);
    if (!chosen)
        return std::nullopt;
    plan.relays.push_back({chosen->instance});
    instances_.relay_started(chosen->instance);
    return relay_step{std::move(chosen->instance), std::move(chosen->address), plan.answer_by,
                      plan.matched->max_attempts - plan.sends,
                      plan.matched->idempotent ? max_idle_idempotent : max_idle_non_idempotent};
}

void request_relay::end(request_plan& plan, const relay_result& result)
{
    auto& ended = plan.relays.back();
    ended.outcome = result.outcome;
    ended.taken = result.taken;
    ended.place = result.place;
    instances_.relay_ended(ended.instance, result.unreachable);
}

std::size_t request_relay::max_accepted() const
{
    return std::max(static_cast<std::size_t>(capacity_ * relayed_requests_per_core), min_relayed_requests);
}

} // namespace knapweed::steering
