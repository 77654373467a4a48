#include "decision/run_outcome.h"

namespace knapweed::decision {

namespace {

using core::refusal_reason;
using core::retry_reason;
using core::unknown_reason;

run_outcome not_run(refusal_reason reason, retry_reason retry)
{
    run_outcome outcome;
    outcome.result = run_outcome::kind::not_run;
    outcome.refusal = reason;
    outcome.retry = retry;
    return outcome;
}

run_outcome lost(unknown_reason reason, retry_reason retry)
{
    run_outcome outcome;
    outcome.unknown = reason;
    outcome.retry = retry;
    return outcome;
}

/** The mapping for relays and dispatches, which differ only in the reasons that are passed in. */
run_outcome outcome_of(const dispatch_result& result, refusal_reason when_refused, retry_reason shed,
                       unknown_reason when_broken)
{
    switch (result.status) {
    case dispatch_status::answered: {
        run_outcome outcome;
        outcome.result = run_outcome::kind::done;
        outcome.dispatch = result;
        return outcome;
    }
    case dispatch_status::not_sent:
        return not_run(refusal_reason::no_backend_server, retry_reason::not_sent);
    case dispatch_status::refused:
        return not_run(when_refused, shed);
    case dispatch_status::unknown:
        return lost(result.unknown, retry_reason::server_died);
    case dispatch_status::truncated: {
        auto outcome = lost(unknown_reason::answer_truncated, retry_reason::server_died);
        outcome.answer_began = true;
        return outcome;
    }
    case dispatch_status::timed_out:
        return lost(unknown_reason::server_timeout, retry_reason::server_timeout);
    case dispatch_status::cancelled:
        return lost(unknown_reason::server_timeout, retry_reason::preempted);
    case dispatch_status::broken:
        break;
    }
    return lost(when_broken, retry_reason::server_died);
}

} // namespace

run_outcome outcome_of_relay(const dispatch_result& result)
{
    return outcome_of(result, result.refusal, retry_reason::pool_refused, unknown_reason::connection_lost);
}

run_outcome outcome_of_run(const dispatch_result& result)
{
    return outcome_of(result, refusal_reason::server_refused, retry_reason::server_shed,
                      unknown_reason::server_died);
}

} // namespace knapweed::decision
