/** The part of the steerer that learns how attempts and relays ended, and decides the next step. */
#include "steering/steerer.h"

namespace knapweed::steering {

namespace {

/** Limit on all attempts of a request, failed connections included. The route's limit does not count failed
   connections, so this one bounds the time lost when several fail. */
constexpr std::size_t max_attempts_with_failed_connections = 4;

} // namespace

void steerer::record_result(request_plan& plan, backend_server& server, const attempt_result& result)
{
    server.occupancy().request_ended();
    if (result.outcome != attempt_outcome::timed_out && result.outcome != attempt_outcome::not_connected)
        server.record_answer();
    if (result.load)
        server.observe(*result.load);
    limits_.record_answer(server, result);
    notices_.record_answer(server, result);
    if (result.remaining_cold_time)
        server.cold_start().set_remaining_cold_time(*result.remaining_cold_time);
    if (plan.attempts.empty())
        return;
    auto& attempt = plan.attempts.back();
    attempt.outcome = result.outcome;
    attempt.connecting = result.connecting;
    attempt.taken = result.taken;
    attempt.place = result.place;
    if (result.outcome == attempt_outcome::answered && attempt.expected_time.count() > 0)
        server.speed().observe(result.taken, attempt.expected_time);
    answers_.record(plan, server, result, distances_, state_of(plan));
}

next_step steerer::attempt_ended(request_plan& plan, backend_server& server, const attempt_result& result)
{
    record_result(plan, server, result);
    relay_.record_attempt(server, result);
    if (result.outcome != attempt_outcome::not_connected)
        ++plan.sends;
    bool is_suspected = false; // of ending the servers that run it
    switch (result.outcome) {
    case attempt_outcome::answered:
        quarantine_.record_answer(plan);
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
        quarantine_.server_ends().record_connection(server.record().id, result.connecting);
        if (relay_.links().is_cut()) {
            if (auto step = relay_.start(plan))
                return *step;
        }
        server.failures().record_unreachable();
        if (const auto* service = plan.policy_of_service())
            server.cold_start().assume_cold(service->cold_time); // it may be restarting
        return retry(plan, core::retry_reason::not_sent, true);
    case attempt_outcome::not_run:
        if (!result.rest && !server.limit().per_second() &&
            (!result.load || result.load->running < server.slots()))
            server.failures().record_failure(); // it refused although it had a free slot
        return retry(plan, core::retry_reason::server_shed);
    case attempt_outcome::wrong_server:
        server.mark_replaced();
        return retry(plan, core::retry_reason::wrong_server);
    case attempt_outcome::connection_lost:
        is_suspected = quarantine_.record_loss(plan, plan.tried.back(), time_.now() - result.taken);
        [[fallthrough]];
    case attempt_outcome::answer_invalid:
        if (!relay_.links().is_cut())
            server.failures().record_failure();
        plan.may_have_run = true;
        if (is_suspected)
            return fail_step{core::unknown_reason::server_died};
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
    if (!relay_.links().is_cut())
        server.failures().record_failure();
    plan.may_have_run = true;
    return fail_step{core::unknown_reason::server_timeout};
}

next_step steerer::relay_ended(request_plan& plan, const relay_result& result)
{
    relay_.end(plan, result);
    switch (result.outcome) {
    case relay_outcome::answered:
        return deliver_step{};
    case relay_outcome::refused:
        return refuse_or_fail(plan, core::refusal_reason::server_refused, result.retry_after);
    case relay_outcome::not_sent:
        if (time_.now() >= plan.answer_by)
            return refuse_or_fail(plan, core::refusal_reason::deadline_unmeetable, core::duration::zero());
        if (auto step = relay_.start(plan))
            return *step;
        return refuse_or_fail(plan, core::refusal_reason::no_backend_server, core::duration::zero());
    case relay_outcome::unknown:
    case relay_outcome::unfinished:
        plan.may_have_run = true;
        return fail_step{core::unknown_reason::connection_lost};
    case relay_outcome::timed_out:
        break;
    }
    plan.may_have_run = true;
    return fail_step{core::unknown_reason::server_timeout};
}

void steerer::relay_abandoned(request_plan& plan)
{
    relay_result result;
    result.outcome = relay_outcome::unfinished;
    relay_.end(plan, result);
}

next_step steerer::retry(request_plan& plan, core::retry_reason reason, bool exempt_from_budget)
{
    const bool sends_left = plan.sends < plan.relayed_sends.value_or(plan.matched->max_attempts) &&
                            plan.attempts.size() < max_attempts_with_failed_connections;
    if (!sends_left)
        return refuse_or_fail(plan, core::refusal_reason::server_refused, state_of(plan).run_time() / 2);
    if (plan.sends > 0 && !exempt_from_budget && !retries_.take(plan.service))
        return refuse_or_fail(plan, core::refusal_reason::retry_budget, state_of(plan).run_time() / 2);
    auto step = choose(plan);
    if (on_retry_ && std::holds_alternative<send_step>(step))
        on_retry_(reason);
    return step;
}

void steerer::attempt_abandoned(backend_server& server)
{
    server.occupancy().request_ended();
}

void steerer::answer_broke_off(backend_server& server)
{
    server.failures().record_failure();
}

} // namespace knapweed::steering
