#include "stand_ins/load/load_caller.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace knapweed::stand_ins {

namespace {

/** Reasons caused by the ticket or by the instances that the look-up returned. Refusals for lack of
    capacity are not retried, since retries would add to the load. */
constexpr std::array<std::string_view, 8> retryable_reasons{
    "owner_lost", "witness_unavailable", "claim_unavailable", "ticket_expired", "damaged_ticket",
    "leaving",    "no_backend_server",   "server_refused"};

} // namespace

bool is_retryable(std::string_view reason)
{
    return std::find(retryable_reasons.begin(), retryable_reasons.end(), reason) != retryable_reasons.end();
}

load_caller::load_caller(asio::any_io_executor executor, const core::clock& clock, caller_options options,
                         std::vector<tcp::endpoint> entries, load_report& report)
    : executor_(executor), clock_(&clock), options_(std::move(options)), entries_(std::move(entries)),
      report_(&report), client_(std::move(executor)), look_ups_(client_, clock, entries_)
{}

asio::awaitable<void> load_caller::perform(request_kind kind, std::string caller)
{
    rank_report& rank = report_of(kind);
    const core::time_point started = clock_->now();
    const core::time_point deadline = started + kind.timeout;
    ++rank.sent;
    attempt_result result;
    for (std::uint64_t resends = 0;; ++resends) {
        attempt current{options_.run_name + "-" + std::to_string(next_key_++),
                        std::string(kind.body_bytes, 'b'), core::milliseconds{0}};
        const std::optional<look_up> target = co_await find_endpoints(caller, kind.service);
        if (!target) {
            result.verdict = {answer_kind::refused, "no_look_up"};
            break;
        }
        current.timeout = std::max(time_left(deadline), core::milliseconds{1});
        result = co_await send(kind, caller, *target, current);
        if (result.verdict.kind != answer_kind::refused)
            break;
        report_->refused_keys.insert(current.key);
        if (!result.can_resend || resends == options_.max_resends ||
            time_left(deadline) <= result.retry_after)
            break;
        if (!result.new_ticket.empty())
            look_ups_.replace_ticket(caller, kind.service, result.new_ticket);
        ++rank.resent;
        co_await wait(result.retry_after);
    }
    record(rank, result.verdict, clock_->now() - started);
}

asio::awaitable<std::optional<look_up>> load_caller::find_endpoints(const std::string& caller,
                                                                    const std::string& service)
{
    return options_.direct ? next_backends() : look_ups_.find(caller, service);
}

asio::awaitable<std::optional<look_up>> load_caller::next_backends() const
{
    look_up backends{entries_, "", clock_->now()};
    std::rotate(backends.endpoints.begin(),
                backends.endpoints.begin() + static_cast<std::ptrdiff_t>(next_key_ % entries_.size()),
                backends.endpoints.end());
    co_return backends;
}

asio::awaitable<load_caller::attempt_result>
load_caller::send(const request_kind& kind, const std::string& caller, look_up target, attempt current)
{
    const core::time_point deadline = clock_->now() + current.timeout;
    bool sent = false;
    for (const tcp::endpoint& endpoint : target.endpoints) {
        current.timeout = std::max(time_left(deadline), core::milliseconds{1});
        const exchange_result exchange = co_await client_.exchange(
            endpoint, make_request(kind, caller, target, current), current.timeout + options_.grace_period);
        switch (exchange.status) {
        case exchange_status::answered:
            co_return classify(exchange.response, current.key);
        case exchange_status::not_connected:
            break;
        case exchange_status::no_answer:
            sent = true;
            ++report_of(kind).cut_off;
            // A backend server does not detect a key that is sent twice, so only entry instances may receive
            // a retry.
            if (options_.direct)
                co_return unknown_result("cut_off");
            break;
        case exchange_status::broken_off:
            ++report_of(kind).broken_off;
            co_return unknown_result("broken_off");
        case exchange_status::timed_out:
            co_return unknown_result("no_answer_in_time");
        }
        // The look-up is treated as out of date; later requests look up again.
        look_ups_.remove(caller, kind.service);
    }
    if (sent)
        co_return unknown_result("cut_off");
    // Nothing was sent, so the request can be sent again with the ticket of a new look-up.
    attempt_result unsent;
    unsent.verdict = {answer_kind::refused, "not_connected"};
    unsent.can_resend = !options_.direct;
    co_return unsent;
}

http_request load_caller::make_request(const request_kind& kind, const std::string& caller,
                                       const look_up& target, const attempt& current) const
{
    const std::string prefix = options_.direct ? "" : "/v1/services/" + kind.service;
    http_request request{kind.method, prefix + kind.target(), 11};
    request.set(http::field::host, "127.0.0.1");
    request.set("Knapweed-Caller", caller);
    request.set("Knapweed-Rank", std::string{core::name_of(kind.rank)});
    request.set("Knapweed-Timeout-Ms", std::to_string(current.timeout.count()));
    request.set("Knapweed-Idempotent", kind.idempotent ? "true" : "false");
    request.set("Idempotency-Key", current.key);
    if (!target.ticket.empty())
        request.set("Knapweed-Ticket", target.ticket);
    if (options_.direct)
        request.set("Knapweed-Run-Id", current.key);
    request.body() = current.body;
    return request;
}

load_caller::attempt_result load_caller::classify(const http_response& response, const std::string& key) const
{
    attempt_result result;
    result.verdict =
        options_.direct ? check_backend_answer(response, key) : check_entry_answer(response, key);
    result.new_ticket = header(response, "Knapweed-Ticket");
    result.can_resend = is_retryable(result.verdict.reason) && !result.new_ticket.empty();
    result.retry_after = core::milliseconds{parse_number(header(response, "Retry-After-Ms")).value_or(0)};
    return result;
}

load_caller::attempt_result load_caller::unknown_result(std::string reason)
{
    attempt_result result;
    result.verdict = {answer_kind::unknown, std::move(reason)};
    return result;
}

asio::awaitable<void> load_caller::wait(core::duration time)
{
    asio::steady_timer timer{executor_, time};
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

core::milliseconds load_caller::time_left(core::time_point deadline) const
{
    return std::chrono::duration_cast<core::milliseconds>(deadline - clock_->now());
}

void load_caller::record(rank_report& rank, const answer_verdict& verdict, core::duration latency)
{
    switch (verdict.kind) {
    case answer_kind::done:
        ++rank.done;
        if (!verdict.reason.empty())
            ++rank.done_with_error[verdict.reason];
        rank.latencies.push_back(latency);
        break;
    case answer_kind::refused:
        ++rank.refused[verdict.reason];
        break;
    case answer_kind::unknown:
        ++rank.unknown[verdict.reason];
        break;
    case answer_kind::malformed:
        ++rank.malformed[verdict.reason];
        break;
    case answer_kind::truncated:
        ++rank.truncated;
        break;
    case answer_kind::crossed:
        ++rank.crossed;
        break;
    }
}

} // namespace knapweed::stand_ins
