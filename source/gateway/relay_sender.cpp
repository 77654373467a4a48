#include "gateway/relay_sender.h"

#include "gateway/message_heads.h"

namespace knapweed::gateway {

namespace asio = net::asio;
using steering::relay_outcome;

namespace {

/** Limit of connections to one other instance. */
constexpr std::size_t max_connections_to_instance = 64;
/** Time limit for opening a connection to another instance, whose distance is not known. */
constexpr core::milliseconds instance_connect_limit{200};

relay_outcome outcome_without_answer(const upstream_exchange& upstream)
{
    return upstream.timed_out() ? relay_outcome::timed_out : relay_outcome::unknown;
}

} // namespace

relay_sender::relay_sender(core::instance_id own, const http_dialect& dialect, const core::clock& time)
    : own_(std::move(own)), dialect_(dialect), time_(time)
{}

asio::awaitable<steering::relay_result> relay_sender::relay(steering::relay_step step,
                                                            const caller_request& request,
                                                            upstream_exchange& upstream) const
{
    const auto started = time_.now();
    steering::relay_result result;
    result.outcome = co_await attempt(step, request, upstream, result.unreachable);
    result.taken = time_.now() - started;
    if (result.outcome != relay_outcome::not_sent)
        result.place = upstream.place();
    if (result.outcome == relay_outcome::refused)
        result.retry_after = parse_seconds(upstream.connection().field("retry-after"));
    if (result.outcome != relay_outcome::answered)
        upstream.release();
    co_return result;
}

asio::awaitable<relay_outcome> relay_sender::attempt(const steering::relay_step& step,
                                                     const caller_request& request,
                                                     upstream_exchange& upstream, bool& unreachable) const
{
    if (upstream.timed_out() ||
        !upstream.acquire(step.address, max_connections_to_instance, step.longest_idle))
        co_return relay_outcome::not_sent;
    if (!upstream.connected()) {
        const auto failure = co_await upstream.open(instance_connect_limit);
        unreachable = failure != steering::connect_failure::none && !upstream.timed_out();
        if (unreachable || upstream.timed_out())
            co_return relay_outcome::not_sent;
    }
    const auto head = make_relay_head(request, dialect_, step.answer_by - time_.now(), own_, step.max_sends);
    if (!co_await upstream.send(head, request))
        co_return relay_outcome::not_sent;
    if (!co_await upstream.read_head())
        co_return outcome_without_answer(upstream);
    const auto outcome = classify_relayed_answer(upstream.extract_answer_facts());
    if (outcome == relay_outcome::unknown)
        co_return outcome;
    if (!co_await upstream.buffer_body())
        co_return outcome_without_answer(upstream);
    co_return outcome;
}

} // namespace knapweed::gateway
