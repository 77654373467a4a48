#include "gateway/forwarded_request.h"

#include "gateway/connect_limit.h"
#include "gateway/head_reading.h"
#include "gateway/message_heads.h"
#include "gateway/request_log.h"

#include <algorithm>
#include <vector>

namespace knapweed::gateway {

namespace asio = net::asio;
using steering::attempt_outcome;

namespace {

constexpr std::size_t stream_buffer_bytes = 16384;
/** Limit of an answer that states no length. A faulty server can send one without end. */
constexpr std::size_t max_undeclared_answer_bytes = 64U << 20U;
/** Limits of answers that are held back until they are whole: of one, and of all of an instance together. */
constexpr std::size_t max_held_bytes = 1U << 20U;
constexpr std::size_t max_held_bytes_of_instance = 16U << 20U;
/** After the request's time limit, an answer that is being delivered ends when its server sends nothing for
   this time. */
constexpr core::milliseconds max_late_silence{2000};
constexpr unsigned bad_request = 400;
/** Stated when more requests are relayed to this instance than it accepts. */
constexpr core::milliseconds relayed_retry_after{100};
/** Length to which a caller's host and path are truncated in the log. */
constexpr std::size_t max_logged_bytes = 128;

bool sends_request(const steering::next_step& step)
{
    return std::holds_alternative<steering::send_step>(step) ||
           std::holds_alternative<steering::relay_step>(step);
}

} // namespace

forwarded_request::forwarded_request(forwarder_context& context, std::shared_ptr<caller_exchange> exchange,
                                     std::optional<relay_origin> origin)
    : context_(context), exchange_(std::move(exchange)), origin_(std::move(origin)),
      request_id_(exchange_->request().field(context_.dialect.request_id_field)), timer_(context_.executor),
      upstream_(context_.executor, context_.connections, context_.dialect, request_id_)
{
    ++context_.in_progress;
    upstream_.buffer_more_if([this](std::size_t bytes) { return hold_answer(bytes); });
}

forwarded_request::~forwarded_request()
{
    --context_.in_progress;
    context_.held_answer_bytes -= held_bytes_;
    if (accepted_relayed_)
        --context_.relayed_in_progress;
}

bool forwarded_request::accept_relayed()
{
    context_.metrics.add(net::counter::relays_received);
    if (context_.relayed_in_progress >= context_.steerer.max_relayed_requests()) {
        context_.metrics.add(net::counter::relays_refused);
        return false;
    }
    ++context_.relayed_in_progress;
    accepted_relayed_ = true;
    return true;
}

steering::request_facts forwarded_request::extract_request_facts() const
{
    const auto& request = exchange_->request();
    steering::request_facts facts;
    facts.host = request.field("host");
    facts.path = request.path();
    facts.identity = {facts.host, request.method, request.target, request.body, request.caller};
    facts.received = request.received;
    if (const auto object = request.cookie(context_.dialect.object_cookie); !object.empty())
        facts.object_hash = core::hash_text(object, core::hash_text(facts.host));
    facts.time_limit = parse_milliseconds(request.field(context_.dialect.time_limit_field));
    if (origin_)
        facts.relayed_sends = origin_->max_sends;
    facts.answers_due = context_.shutdown.answers_due();
    // Of several keys none is taken, because a server or another instance could take another one of them.
    if (request.count(context_.dialect.api_key_field) == 1)
        facts.api_key = request.field(context_.dialect.api_key_field);
    return facts;
}

account_statement forwarded_request::stated_account() const
{
    account_statement statement;
    statement.replaces_fields = plan_.policy->accounts.has_value();
    if (plan_.account != nullptr)
        statement.account = plan_.account->id.str();
    return statement;
}

asio::awaitable<void> forwarded_request::run()
{
    const auto self = shared_from_this();
    if (request_id_.empty()) {
        log_result("rejected", bad_request, "no request id", {});
        const auto head = make_gateway_head(context_.dialect, request_id_, bad_request, "no_request_id");
        co_await exchange_->answer(head, {});
        co_return;
    }
    if (const auto& refused = exchange_->request().body_refused) {
        co_await refuse({core::refusal_reason::no_body_space, refused->retry_after});
        co_return;
    }
    if (!co_await exchange_->wait_to_pass_on() || exchange_->detect_disconnect()) {
        context_.metrics.add(net::counter::callers_lost);
        log_result("caller_left", 0, "the connection ended before the request was passed on", {});
        co_return;
    }
    if (origin_ && !accept_relayed()) {
        co_await refuse({core::refusal_reason::overloaded, relayed_retry_after});
        co_return;
    }
    auto step = context_.steerer.begin(extract_request_facts(), plan_);
    if (sends_request(step)) {
        exchange_->pass_on(plan_.matched->large_answers);
        arm_timer();
        exchange_->on_caller_disconnected([weak = weak_from_this()] {
            if (const auto request = weak.lock())
                request->upstream_.abort();
        });
    }
    while (sends_request(step)) {
        std::optional<steering::next_step> next;
        if (const auto* relayed = std::get_if<steering::relay_step>(&step))
            next = co_await relay(*relayed);
        else
            next = co_await send(std::get<steering::send_step>(step));
        if (!next) {
            context_.metrics.add(net::counter::callers_lost);
            log_result("caller_left", 0, "the caller closed its connection", {});
            co_return;
        }
        step = std::move(*next);
    }
    if (const auto* refused = std::get_if<steering::refuse_step>(&step))
        co_await refuse(*refused);
    else if (const auto* failed = std::get_if<steering::fail_step>(&step))
        co_await fail(*failed);
    timer_.cancel();
}

asio::awaitable<std::optional<steering::next_step>> forwarded_request::send(steering::send_step step)
{
    const auto result = co_await try_server(step);
    if (exchange_->caller_disconnected()) {
        context_.steerer.attempt_abandoned(*step.server);
        co_return std::nullopt;
    }
    auto next = context_.steerer.attempt_ended(plan_, *step.server, result);
    if (std::holds_alternative<steering::deliver_step>(next))
        co_await deliver(step.server.get());
    co_return next;
}

asio::awaitable<std::optional<steering::next_step>> forwarded_request::relay(steering::relay_step step)
{
    context_.metrics.add(net::counter::relays_sent);
    const auto result = co_await context_.relays.relay(std::move(step), exchange_->request(), upstream_);
    if (exchange_->caller_disconnected()) {
        context_.steerer.relay_abandoned(plan_);
        co_return std::nullopt;
    }
    if (result.outcome != steering::relay_outcome::answered)
        context_.metrics.add(net::counter::relays_failed);
    auto next = context_.steerer.relay_ended(plan_, result);
    if (std::holds_alternative<steering::deliver_step>(next))
        co_await deliver(nullptr);
    co_return next;
}

void forwarded_request::arm_timer()
{
    timer_.expires_after(
        std::max<core::duration>(plan_.answer_by - context_.time.now(), core::duration::zero()));
    timer_.async_wait([weak = weak_from_this()](net::error_code error) {
        const auto request = weak.lock();
        if (error || !request || request->delivering_)
            return;
        request->upstream_.time_out();
    });
}

/** Closes the server's connection if nothing of the answer arrives for a time after the request's time limit.
 */
void forwarded_request::arm_silence_timer()
{
    timer_.expires_after(
        std::max<core::duration>(plan_.answer_by - context_.time.now(), core::duration::zero()) +
        max_late_silence);
    timer_.async_wait([weak = weak_from_this()](net::error_code error) {
        if (const auto request = weak.lock(); request && !error)
            request->upstream_.abort();
    });
}

asio::awaitable<steering::attempt_result> forwarded_request::try_server(const steering::send_step& step)
{
    auto& server = *step.server;
    steering::attempt_result result;
    const auto started = context_.time.now();
    if (!upstream_.acquire(server.record().address, step.connection_limit, step.longest_idle)) {
        result.connecting = steering::connect_failure::limited;
        co_return result;
    }
    if (!upstream_.connected()) {
        result.connecting = co_await open_connection(server);
        result.taken = context_.time.now() - started;
        if (result.connecting != steering::connect_failure::none) {
            context_.metrics.add(net::counter::upstream_connections_failed);
            co_return result;
        }
    }
    if (exchange_->caller_disconnected() || upstream_.timed_out())
        co_return result;
    result.outcome = co_await send_and_receive(server);
    result.taken = context_.time.now() - started;
    result.place = upstream_.place();
    const bool has_head = result.outcome != attempt_outcome::connection_lost &&
                          result.outcome != attempt_outcome::timed_out &&
                          result.outcome != attempt_outcome::not_connected && !upstream_.answer_malformed();
    if (has_head)
        upstream_.extract_statements(result);
    if (result.outcome != attempt_outcome::answered && result.outcome != attempt_outcome::server_failed)
        upstream_.release();
    co_return result;
}

asio::awaitable<steering::connect_failure>
forwarded_request::open_connection(steering::backend_server& server)
{
    const steering::network_location server_location{server.record().data_centre, server.region()};
    const auto started = context_.time.now();
    const auto failure =
        co_await upstream_.open(connect_limit(context_.steerer.distances(), server_location));
    if (failure == steering::connect_failure::none)
        context_.steerer.distances().observe(server_location, context_.time.now() - started);
    co_return failure;
}

bool forwarded_request::hold_answer(std::size_t bytes)
{
    if (bytes >= max_held_bytes || !exchange_->others_passed_on_behind())
        return false;
    context_.held_answer_bytes += bytes;
    context_.held_answer_bytes -= held_bytes_;
    held_bytes_ = bytes;
    return context_.held_answer_bytes < max_held_bytes_of_instance;
}

attempt_outcome forwarded_request::outcome_without_answer() const
{
    if (upstream_.timed_out())
        return attempt_outcome::timed_out;
    return upstream_.answer_malformed() ? attempt_outcome::answer_invalid : attempt_outcome::connection_lost;
}

asio::awaitable<attempt_outcome> forwarded_request::send_and_receive(const steering::backend_server& server)
{
    const auto& request = exchange_->request();
    const auto time_left = plan_.answer_by - context_.time.now();
    const auto head =
        make_request_head(request, context_.dialect, time_left, server.record().id, stated_account());
    if (!co_await upstream_.send(head, request))
        co_return upstream_.timed_out() ? attempt_outcome::timed_out : attempt_outcome::not_connected;
    if (!co_await upstream_.read_head())
        co_return outcome_without_answer();
    const auto outcome = classify_answer(upstream_.extract_answer_facts());
    if (outcome == attempt_outcome::answer_invalid)
        co_return outcome;
    if (!co_await upstream_.buffer_body())
        co_return upstream_.timed_out() ? attempt_outcome::timed_out : attempt_outcome::answer_invalid;
    co_return outcome;
}

asio::awaitable<void> forwarded_request::deliver(steering::backend_server* server)
{
    delivering_ = true;
    hold_only_answer();
    const auto head = make_answer_head(upstream_.connection(), exchange_->request().method);
    bool written = false;
    if (upstream_.buffered_whole()) {
        upstream_.release();
        written = co_await exchange_->answer(head, upstream_.buffered_body());
    }
    else {
        written = co_await stream_answer(head, server);
    }
    context_.metrics.observe_answer(plan_.matched->name, head.status,
                                    context_.time.now() - exchange_->request().received);
    log_result(written ? "answered" : "answer_broke_off", head.status, "", {});
}

/** Gives back the memory of the request's body: a caller may take the answer slowly. */
void forwarded_request::hold_only_answer()
{
    auto& request = exchange_->request();
    plan_.identity.body = {};
    std::string().swap(request.body);
    request.claim.drop_body();
    // What was read of the answer is counted even if it doesn't fit; others are given up then.
    (void)request.claim.cover(head_memory(upstream_.buffered_body().size()), context_.time.now());
}

asio::awaitable<bool> forwarded_request::stream_answer(const answer_head& head,
                                                       steering::backend_server* server)
{
    const auto length = upstream_.connection().content_length();
    bool written = co_await exchange_->begin_answer(head, length);
    if (written)
        written = co_await exchange_->write_body(upstream_.buffered_body());
    std::vector<char> buffer(stream_buffer_bytes);
    std::size_t streamed_bytes = 0;
    while (written && !upstream_.connection().complete()) {
        arm_silence_timer();
        const auto read = co_await upstream_.connection().read_some(buffer);
        streamed_bytes += read.bytes;
        if (read.error || (!length && streamed_bytes > max_undeclared_answer_bytes)) {
            context_.metrics.add(net::counter::answers_truncated);
            if (server != nullptr && !exchange_->caller_disconnected())
                context_.steerer.answer_broke_off(*server);
            exchange_->abort_answer();
            co_return false;
        }
        written = co_await exchange_->write_body({buffer.data(), read.bytes});
    }
    if (!written) {
        upstream_.discard();
        co_return false;
    }
    upstream_.release();
    co_return co_await exchange_->end_answer();
}

asio::awaitable<void> forwarded_request::refuse(const steering::refuse_step& step)
{
    context_.metrics.count(step.reason);
    const auto reason = core::name_of(step.reason);
    auto head = make_gateway_head(context_.dialect, request_id_, status_of(step.reason), reason);
    if (step.retry_after > core::duration::zero())
        append_field(head.fields, "Retry-After", format_seconds(step.retry_after));
    log_result("refused", head.status, reason, step.retry_after);
    co_await exchange_->answer(head, {});
}

asio::awaitable<void> forwarded_request::fail(const steering::fail_step& step)
{
    context_.metrics.count(step.reason);
    const auto reason = core::name_of(step.reason);
    const auto head = make_gateway_head(context_.dialect, request_id_, status_of(step.reason), reason);
    log_result("failed", head.status, reason, {});
    co_await exchange_->answer(head, {});
}

void forwarded_request::log_result(std::string_view outcome, unsigned status, std::string_view reason,
                                   core::duration retry_after)
{
    json_line line("request_ended");
    line.add("request", request_id_).add("outcome", outcome).add("status", status);
    if (!reason.empty())
        line.add("reason", reason);
    if (retry_after > core::duration::zero())
        line.add_ms("retry_after_ms", retry_after);
    const auto& request = exchange_->request();
    if (plan_.matched == nullptr) {
        line.add("host", request.field("host").substr(0, max_logged_bytes))
            .add("path", request.path().substr(0, max_logged_bytes));
    }
    if (origin_)
        line.add("relayed_by", origin_->instance);
    add_plan(line, plan_, context_.time.now() - request.received);
    context_.log.info(std::move(line));
}

} // namespace knapweed::gateway
