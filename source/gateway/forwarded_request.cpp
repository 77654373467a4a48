#include "gateway/forwarded_request.h"

#include "gateway/message_heads.h"
#include "gateway/request_log.h"
#include "net/parse_number.h"
#include "net/time_limit.h"

#include <algorithm>
#include <array>

namespace knapweed::gateway {

namespace asio = net::asio;
using steering::attempt_outcome;

namespace {

/** Body bytes that are read before an answer is delivered. If the answer breaks off within them, the request
   can be retried on another server, because the caller has received nothing yet. */
constexpr std::size_t max_buffered_bytes = 32768;
constexpr std::size_t stream_buffer_bytes = 16384;
/** Answers to earlier requests that are skipped on one connection before the attempt fails. */
constexpr int max_stale_answers = 2;
constexpr std::size_t max_stale_answer_bytes = 1U << 20U;
/** Interim answers (1xx) that may precede the answer. */
constexpr int max_interim_answers = 4;
/** Limit of an answer that states no length. A faulty server can send one without end. */
constexpr std::size_t max_undeclared_answer_bytes = 64U << 20U;
/** After the request's time limit, an answer that is being delivered ends when its server sends nothing for
   this time. */
constexpr core::milliseconds max_late_silence{2000};
/** Time limit for opening a connection: this many round trips, and an allowance for delays at the server. */
constexpr int connect_round_trips = 2;
constexpr core::milliseconds server_allowance{60};
constexpr unsigned bad_request = 400;
constexpr double bytes_per_kilobyte = 1024;
/** Length to which a caller's host and path are truncated in the log. */
constexpr std::size_t max_logged_bytes = 128;

} // namespace

forwarded_request::forwarded_request(forwarder_context& context, std::shared_ptr<caller_exchange> exchange)
    : context_(context), exchange_(std::move(exchange)),
      request_id_(exchange_->request().field(context_.dialect.request_id_field)), timer_(context_.executor)
{
    ++context_.in_progress;
}

forwarded_request::~forwarded_request()
{
    --context_.in_progress;
}

steering::request_facts forwarded_request::extract_request_facts() const
{
    const auto& request = exchange_->request();
    steering::request_facts facts;
    facts.host = request.field("host");
    facts.path = request.path();
    facts.received = request.received;
    if (const auto object = request.cookie(context_.dialect.object_cookie); !object.empty())
        facts.object_hash = core::hash_text(object, core::hash_text(facts.host));
    if (const auto limit = net::parse_number(request.field(context_.dialect.time_limit_field)))
        facts.time_limit = core::milliseconds(*limit);
    return facts;
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
    if (exchange_->detect_disconnect()) {
        context_.metrics.add(net::counter::callers_lost);
        log_result("caller_left", 0, "the caller had closed its connection before the request was read", {});
        co_return;
    }
    auto step = context_.steerer.begin(extract_request_facts(), plan_);
    if (std::holds_alternative<steering::send_step>(step)) {
        arm_timer();
        exchange_->on_caller_disconnected([weak = weak_from_this()] {
            if (const auto request = weak.lock())
                request->abort_attempt();
        });
    }
    while (const auto* send = std::get_if<steering::send_step>(&step)) {
        const auto server = send->server;
        const auto result = co_await try_server(*send);
        if (exchange_->caller_disconnected()) {
            context_.steerer.attempt_abandoned(*server);
            context_.metrics.add(net::counter::callers_lost);
            log_result("caller_left", 0, "the caller closed its connection", {});
            co_return;
        }
        step = context_.steerer.attempt_ended(plan_, *server, result);
        if (std::holds_alternative<steering::deliver_step>(step)) {
            delivering_ = true;
            co_await deliver(*server);
        }
    }
    if (const auto* refused = std::get_if<steering::refuse_step>(&step))
        co_await refuse(*refused);
    else if (const auto* failed = std::get_if<steering::fail_step>(&step))
        co_await fail(*failed);
    timer_.cancel();
}

void forwarded_request::arm_timer()
{
    timer_.expires_after(
        std::max<core::duration>(plan_.answer_by - context_.time.now(), core::duration::zero()));
    timer_.async_wait([weak = weak_from_this()](net::error_code error) {
        const auto request = weak.lock();
        if (error || !request || request->delivering_)
            return;
        request->timed_out_ = true;
        request->abort_attempt();
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
            request->abort_attempt();
    });
}

/** Ends the attempt in progress. The server detects that its connection is closed and stops processing the
   request. */
void forwarded_request::abort_attempt()
{
    if (connection_)
        connection_->close();
}

asio::awaitable<steering::attempt_result> forwarded_request::try_server(const steering::send_step& step)
{
    auto& server = *step.server;
    steering::attempt_result result;
    const auto started = context_.time.now();
    buffered_answer_ = {};
    must_discard_connection_ = false;
    connection_ =
        context_.connections.acquire(server.record().address, step.connection_limit, step.longest_idle);
    if (!connection_) {
        result.connecting = steering::connect_failure::limited;
        co_return result;
    }
    if (!connection_->connected()) {
        result.connecting = co_await open_connection(server);
        result.taken = context_.time.now() - started;
        if (result.connecting != steering::connect_failure::none) {
            context_.metrics.add(net::counter::upstream_connections_failed);
            co_return result;
        }
    }
    if (exchange_->caller_disconnected() || timed_out_)
        co_return result;
    result.outcome = co_await send_and_receive(server);
    result.taken = context_.time.now() - started;
    const bool has_head = result.outcome != attempt_outcome::connection_lost &&
                          result.outcome != attempt_outcome::timed_out &&
                          result.outcome != attempt_outcome::not_connected;
    if (has_head)
        extract_load(result);
    if (result.outcome != attempt_outcome::answered && result.outcome != attempt_outcome::server_failed)
        release_connection();
    co_return result;
}

asio::awaitable<steering::connect_failure>
forwarded_request::open_connection(steering::backend_server& server)
{
    const steering::network_location server_location{server.record().data_centre, server.region()};
    const auto round_trip = context_.steerer.distances().round_trip(server_location);
    const auto started = context_.time.now();
    const net::time_limit connect_limit(
        context_.executor, round_trip * connect_round_trips + server_allowance, [this] { abort_attempt(); });
    const auto error = co_await connection_->connect();
    if (!error)
        context_.steerer.distances().observe(server_location, context_.time.now() - started);
    co_return classify_connect_error(error, connect_limit.expired());
}

attempt_outcome forwarded_request::outcome_without_answer() const
{
    return timed_out_ ? attempt_outcome::timed_out : attempt_outcome::connection_lost;
}

asio::awaitable<attempt_outcome> forwarded_request::send_and_receive(const steering::backend_server& server)
{
    const auto& request = exchange_->request();
    const auto time_left = plan_.answer_by - context_.time.now();
    const auto head = make_request_head(request, context_.dialect, time_left, server.record().id);
    const auto written = co_await connection_->write_message(head, request.body);
    if (written.error && written.bytes == 0)
        co_return timed_out_ ? attempt_outcome::timed_out : attempt_outcome::not_connected;
    // A server may answer early and close the connection without reading the whole body: its answer is valid.
    if (written.error)
        must_discard_connection_ = true;
    if (request.method == "HEAD")
        connection_->expect_no_body();
    if (!co_await read_matching_head())
        co_return outcome_without_answer();
    const auto outcome = classify_answer(extract_answer_facts());
    if (outcome == attempt_outcome::answer_invalid)
        co_return outcome;
    if (!co_await buffer_body())
        co_return timed_out_ ? attempt_outcome::timed_out : attempt_outcome::answer_invalid;
    co_return outcome;
}

asio::awaitable<bool> forwarded_request::read_matching_head()
{
    constexpr unsigned first_final_status = 200;
    int interim_answers = 0;
    int stale_answers = 0;
    while (interim_answers <= max_interim_answers && stale_answers <= max_stale_answers) {
        if (co_await connection_->read_head())
            co_return false;
        if (connection_->status() < first_final_status) {
            ++interim_answers;
        }
        else if (is_for_another_request(extract_answer_facts())) {
            // A late answer to an earlier request on this connection; the answer to this request may follow.
            must_discard_connection_ = true;
            ++stale_answers;
            if (!co_await skip_body())
                co_return false;
        }
        else {
            co_return true;
        }
        connection_->expect_next_answer();
    }
    co_return false;
}

asio::awaitable<bool> forwarded_request::skip_body()
{
    std::array<char, 2048> skipped{};
    std::size_t skipped_bytes = 0;
    while (!connection_->complete()) {
        const auto read = co_await connection_->read_some(skipped);
        skipped_bytes += read.bytes;
        if (read.error || skipped_bytes > max_stale_answer_bytes)
            co_return false;
    }
    co_return true;
}

asio::awaitable<bool> forwarded_request::buffer_body()
{
    std::array<char, 4096> buffer{};
    while (!connection_->complete() && buffered_answer_.body.size() < max_buffered_bytes) {
        const auto read = co_await connection_->read_some(buffer);
        if (read.error)
            co_return false;
        buffered_answer_.body.append(buffer.data(), read.bytes);
    }
    buffered_answer_.complete = connection_->complete();
    co_return true;
}

answer_facts forwarded_request::extract_answer_facts() const
{
    const auto& dialect = context_.dialect;
    const auto id = connection_->field(dialect.request_id_field);
    answer_facts facts;
    facts.status = connection_->status();
    facts.has_request_id = !id.empty();
    facts.matches_request = id == request_id_;
    facts.on_reused_connection = connection_->reused();
    facts.has_signature = !connection_->field(dialect.signature_field).empty();
    facts.marked_not_run = !connection_->field(dialect.not_run_field).empty();
    facts.encoded = !connection_->field("content-encoding").empty();
    return facts;
}

void forwarded_request::extract_load(steering::attempt_result& result) const
{
    result.load = context_.dialect.parse_load(connection_->field(context_.dialect.load_field));
    if (const auto remaining_ms =
            net::parse_number(connection_->field(context_.dialect.remaining_cold_time_field)))
        result.remaining_cold_time = core::milliseconds(*remaining_ms);
    result.answer_kilobytes =
        static_cast<double>(connection_->content_length().value_or(buffered_answer_.body.size())) /
        bytes_per_kilobyte;
}

/** Returns the connection to the pool if another request may use it, and closes it otherwise. */
void forwarded_request::release_connection()
{
    if (!connection_)
        return;
    if (must_discard_connection_)
        connection_.reset();
    else if (connection_->complete()) {
        const auto idle_time = usable_idle_time(connection_->field("keep-alive"));
        context_.connections.release(std::move(connection_), idle_time);
    }
    connection_.reset();
}

asio::awaitable<void> forwarded_request::deliver(steering::backend_server& server)
{
    const auto head = make_answer_head(*connection_, exchange_->request().method);
    bool written = false;
    if (buffered_answer_.complete) {
        release_connection();
        written = co_await exchange_->answer(head, buffered_answer_.body);
    }
    else {
        written = co_await stream_answer(head, server);
    }
    context_.metrics.observe_answer(plan_.matched->name, head.status,
                                    context_.time.now() - exchange_->request().received);
    log_result(written ? "answered" : "answer_broke_off", head.status, "", {});
}

asio::awaitable<bool> forwarded_request::stream_answer(const answer_head& head,
                                                       steering::backend_server& server)
{
    const auto length = connection_->content_length();
    bool written = co_await exchange_->begin_answer(head, length);
    if (written)
        written = co_await exchange_->write_body(buffered_answer_.body);
    std::vector<char> buffer(stream_buffer_bytes);
    std::size_t streamed_bytes = 0;
    while (written && !connection_->complete()) {
        arm_silence_timer();
        const auto read = co_await connection_->read_some(buffer);
        streamed_bytes += read.bytes;
        if (read.error || (!length && streamed_bytes > max_undeclared_answer_bytes)) {
            context_.metrics.add(net::counter::answers_truncated);
            if (!exchange_->caller_disconnected())
                context_.steerer.answer_broke_off(server);
            exchange_->abort_answer();
            co_return false;
        }
        written = co_await exchange_->write_body({buffer.data(), read.bytes});
    }
    if (!written) {
        connection_.reset();
        co_return false;
    }
    release_connection();
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
    add_plan(line, plan_, context_.time.now() - request.received);
    context_.log.info(std::move(line));
}

} // namespace knapweed::gateway
