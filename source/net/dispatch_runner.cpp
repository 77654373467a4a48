#include "net/dispatch_runner.h"

#include "net/request_head.h"
#include "net/time_limit.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cstdio>

namespace knapweed::net {

namespace {

using decision::dispatch_status;

constexpr std::size_t kept_answer_limit_bytes = std::size_t{64} * 1024;
constexpr std::size_t refusal_body_limit_bytes = std::size_t{64} * 1024;
constexpr std::size_t stream_buffer_bytes = std::size_t{64} * 1024;
// Bounds the connections to one peer. The credit that a pool owner grants limits outstanding requests to far
// fewer.
constexpr std::size_t peer_connection_limit = 512;
constexpr std::size_t default_server_connection_limit = 64;
/** Answers to other runs that are skipped before an attempt counts as broken. */
constexpr unsigned max_stale_answers = 2;
constexpr std::size_t max_stale_answer_bytes = std::size_t{1} << 20U;
constexpr std::string_view run_id_field = "Knapweed-Run-Id";
// One round trip between the most distant regions takes 110 ms; a lost SYN is retransmitted after 1 s.
constexpr core::milliseconds connect_limit{1500};
constexpr core::milliseconds cancellation_limit{1000};

void add_payload_fields(const buffered_request& request, outgoing_request& out)
{
    out.method = request.method;
    out.body = request.body;
    if (!request.content_type.empty())
        out.fields.push_back({"Content-Type", request.content_type});
    if (!request.accept.empty())
        out.fields.push_back({"Accept", request.accept});
}

/** Adds the fields by which a backend server identifies the caller and a repeated key. */
void add_identity_fields(const buffered_request& request, outgoing_request& out)
{
    out.fields.push_back({"Knapweed-Caller", request.caller.str()});
    out.fields.push_back({"Knapweed-Rank", std::string(core::name_of(request.rank))});
    out.fields.push_back({"Knapweed-Idempotent", request.idempotent ? "true" : "false"});
    if (!request.key.empty())
        out.fields.push_back({"Idempotency-Key", request.key});
}

std::vector<header_field> make_relay_fields(const decision::relay_to_instance& action,
                                            const core::instance_id& from)
{
    const auto& meta = action.request;
    std::vector<header_field> fields{
        {"Knapweed-Caller", meta.caller.str()},
        {"Knapweed-Rank", std::string(core::name_of(meta.rank))},
        {"Knapweed-Timeout-Ms", std::to_string(std::max<std::int64_t>(meta.timeout.count(), 1))},
        {"Knapweed-Idempotent", meta.idempotent ? "true" : "false"},
        {"Knapweed-Hop", std::string(core::name_of(action.as))},
        {"Knapweed-From", from.str()},
        {"Knapweed-Body-Hash", core::to_hex(meta.body_hash)}};
    if (action.as == decision::hop::pool)
        fields.push_back({"Knapweed-Pool", action.pool_data_centre.str()});
    if (!meta.ticket.empty())
        fields.push_back({"Knapweed-Ticket", meta.ticket});
    if (!meta.key.empty())
        fields.push_back({"Idempotency-Key", meta.key});
    return fields;
}

/** @returns the result stated by the head of an answer, or nothing if the answer is to be streamed to the
    caller. */
std::optional<decision::dispatch_result> read_head_result(const client_connection& connection, bool to_server)
{
    decision::dispatch_result result;
    if (to_server) {
        if (connection.status() != 503 || connection.field("Knapweed-Not-Run") != "true")
            return std::nullopt;
        result.status = dispatch_status::refused;
        result.refusal = core::refusal_reason::server_refused;
        return result;
    }
    const auto outcome = connection.field("Knapweed-Outcome");
    if (outcome == "done")
        return std::nullopt;
    const auto reason = connection.field("Knapweed-Reason");
    if (outcome == "refused") {
        result.status = dispatch_status::refused;
        result.refusal =
            core::parse_name<core::refusal_reason>(reason).value_or(core::refusal_reason::overloaded);
        return result;
    }
    // Either an instance reports `unknown`, or the answer is not from an instance. The request may have run
    // in both cases.
    result.status = dispatch_status::unknown;
    result.unknown =
        core::parse_name<core::unknown_reason>(reason).value_or(core::unknown_reason::connection_lost);
    return result;
}

/** Reads the rest of an answer that isn't used. @returns whether it was read to its end within the limit. */
asio::awaitable<bool> skip_body(client_connection& connection, std::size_t limit)
{
    std::vector<char> buffer(4096);
    std::size_t total = 0;
    while (!connection.complete() && total < limit) {
        const auto read = co_await connection.read_some(buffer);
        if (read.error)
            co_return false;
        total += read.bytes;
    }
    co_return connection.complete();
}

} // namespace

/** One transmission of a request to a peer or backend server. */
struct dispatch_runner::attempt {
    core::dispatch_id dispatch;
    std::shared_ptr<exchange> caller_exchange;
    std::string address;
    std::size_t connection_limit = 0;
    core::milliseconds timeout{0};
    bool to_server = false;
    std::string run_id;
    outgoing_request request;

    std::unique_ptr<client_connection> connection;
    bool request_sent = false;                  ///< at least one byte of the request may have been written
    bool must_discard_connection = false;       ///< a later answer on it might belong to another run
    bool streaming = false;                     ///< the head of the answer was sent to the caller
    std::optional<dispatch_status> stop_reason; ///< why the attempt was stopped, if it was
};

dispatch_runner::dispatch_runner(const asio::any_io_executor& executor, core::instance_id instance,
                                 core::incarnation incarnation, core::duration idle_limit,
                                 exchange_table& exchanges, event_port& events, http_client& client,
                                 telemetry& reports)
    : executor_(executor), instance_(std::move(instance)),
      run_prefix_(instance_.str() + "-" + core::to_hex(incarnation.value) + "-"), exchanges_(exchanges),
      events_(events), client_(client), reports_(reports), connections_(executor, idle_limit, reports, time_)
{}

dispatch_runner::~dispatch_runner() = default;

void dispatch_runner::start(const decision::relay_to_instance& action)
{
    auto new_attempt = std::make_shared<attempt>();
    new_attempt->dispatch = action.dispatch;
    new_attempt->caller_exchange = exchanges_.find(action.exchange);
    new_attempt->address = action.address;
    new_attempt->connection_limit = peer_connection_limit;
    new_attempt->timeout = action.request.timeout;
    if (new_attempt->caller_exchange) {
        new_attempt->request.fields = make_relay_fields(action, instance_);
        new_attempt->request.target = new_attempt->caller_exchange->request().target;
        add_payload_fields(new_attempt->caller_exchange->request(), new_attempt->request);
    }
    launch(std::move(new_attempt));
}

void dispatch_runner::start(const decision::dispatch_to_server& action)
{
    auto new_attempt = std::make_shared<attempt>();
    new_attempt->dispatch = action.dispatch;
    new_attempt->caller_exchange = exchanges_.find(action.exchange);
    new_attempt->address = action.address;
    new_attempt->connection_limit =
        action.connection_limit == 0 ? default_server_connection_limit : action.connection_limit;
    new_attempt->timeout = action.timeout;
    new_attempt->to_server = true;
    new_attempt->run_id = run_prefix_ + std::to_string(action.dispatch.value);
    if (new_attempt->caller_exchange) {
        new_attempt->request.fields = {
            {"Knapweed-Timeout-Ms", std::to_string(std::max<std::int64_t>(action.timeout.count(), 1))},
            {std::string(run_id_field), new_attempt->run_id}};
        add_identity_fields(new_attempt->caller_exchange->request(), new_attempt->request);
        new_attempt->request.target = new_attempt->caller_exchange->request().backend_target;
        add_payload_fields(new_attempt->caller_exchange->request(), new_attempt->request);
    }
    launch(std::move(new_attempt));
}

void dispatch_runner::launch(std::shared_ptr<attempt> new_attempt)
{
    // The exchange may have ended before this action was executed.
    if (!new_attempt->caller_exchange) {
        decision::dispatch_result result;
        result.status = dispatch_status::not_sent;
        events_.send(decision::dispatch_finished{new_attempt->dispatch, std::move(result)});
        return;
    }
    running_[new_attempt->dispatch] = new_attempt;
    reports_.set(gauge::open_dispatches, static_cast<double>(running_.size()));
    asio::co_spawn(executor_, run(std::move(new_attempt)), asio::detached);
}

void dispatch_runner::cancel(core::dispatch_id dispatch)
{
    if (const auto found = running_.find(dispatch); found != running_.end())
        stop(*found->second, dispatch_status::cancelled);
}

void dispatch_runner::stop(attempt& running, dispatch_status reason)
{
    if (running.stop_reason)
        return;
    running.stop_reason = reason;
    if (running.connection)
        running.connection->close();
    if (running.streaming)
        running.caller_exchange->abort();
}

asio::awaitable<void> dispatch_runner::run(std::shared_ptr<attempt> running)
{
    decision::dispatch_result result;
    {
        const time_limit deadline(executor_, running->timeout,
                                  [this, running] { stop(*running, dispatch_status::timed_out); });
        result = co_await transfer(*running);
    }
    finish(*running, std::move(result));
}

void dispatch_runner::finish(attempt& ended, decision::dispatch_result result)
{
    const bool conclusive = result.status == dispatch_status::answered ||
                            result.status == dispatch_status::refused ||
                            result.status == dispatch_status::unknown;
    if (ended.stop_reason && !conclusive) {
        result.status = *ended.stop_reason;
        if (ended.request_sent)
            cancel_run(ended);
        else if (result.status == dispatch_status::timed_out)
            result.status = dispatch_status::not_sent;
        if (ended.streaming && result.status == dispatch_status::cancelled)
            result.status = dispatch_status::truncated;
    }
    if (conclusive && !ended.must_discard_connection)
        connections_.release(std::move(ended.connection));
    ended.connection.reset();
    if (result.status == dispatch_status::truncated) {
        reports_.add(counter::answers_truncated);
        ended.caller_exchange->abort();
    }
    if (ended.caller_exchange->finished())
        exchanges_.erase(ended.caller_exchange->id());
    running_.erase(ended.dispatch);
    reports_.set(gauge::open_dispatches, static_cast<double>(running_.size()));
    events_.send(decision::dispatch_finished{ended.dispatch, std::move(result)});
}

asio::awaitable<decision::dispatch_result> dispatch_runner::transfer(attempt& running)
{
    decision::dispatch_result result;
    result.status = dispatch_status::not_sent;
    running.connection = connections_.acquire(running.address, running.connection_limit);
    if (!running.connection)
        co_return result;
    const bool connected = co_await connect(running);
    if (!connected)
        co_return result;
    running.request_sent = true; // if stopped during the write, bytes may have been sent
    const auto written = co_await running.connection->write(running.request);
    reports_.add(running.to_server ? counter::bytes_to_servers : counter::bytes_to_peers, written.bytes);
    running.request_sent = written.bytes > 0;
    if (!running.request_sent)
        co_return result;
    result.status = dispatch_status::broken;
    if (written.error)
        co_return result;
    const bool is_answered = co_await read_answer_head(running);
    if (!is_answered)
        co_return result;
    const auto head_result = read_head_result(*running.connection, running.to_server);
    if (!head_result)
        co_return co_await stream_answer(running);
    // The head has determined the result; the connection can be reused if the rest is read.
    co_await skip_body(*running.connection, refusal_body_limit_bytes);
    co_return *head_result;
}

asio::awaitable<bool> dispatch_runner::connect(attempt& running)
{
    if (running.connection->connected())
        co_return true;
    const time_limit limit(executor_, connect_limit, [&running] { running.connection->close(); });
    const auto connect_error = co_await running.connection->connect();
    co_return !connect_error && !running.stop_reason;
}

/** Reads up to the head of this attempt's answer. A server may send the copy of an answer late, on a
    connection that is in use for the next run; another instance answers each request once.
    @returns whether an answer came that belongs to this attempt. */
asio::awaitable<bool> dispatch_runner::read_answer_head(attempt& running)
{
    auto& connection = *running.connection;
    for (unsigned skipped = 0; skipped <= max_stale_answers; ++skipped) {
        const auto head_error = co_await connection.read_final_head();
        if (head_error)
            co_return false;
        const auto run_id = connection.field(run_id_field);
        if (!running.to_server || run_id == running.run_id)
            co_return true;
        running.must_discard_connection = true;
        if (run_id.empty())
            co_return !connection.reused() && skipped == 0;
        const bool is_skipped = co_await skip_body(connection, max_stale_answer_bytes);
        if (!is_skipped)
            co_return false;
        connection.expect_next_answer();
    }
    co_return false;
}

asio::awaitable<decision::dispatch_result> dispatch_runner::stream_answer(attempt& running)
{
    auto& connection = *running.connection;
    decision::dispatch_result result;
    result.status = dispatch_status::truncated;
    result.answer.status = connection.status();
    result.answer.content_type = connection.field("Content-Type");
    // An answer that ends with its connection can't be distinguished from a truncated one.
    if (!connection.delimited())
        co_return result;
    const streamed_head head{result.answer.status, result.answer.content_type, connection.content_length()};
    const bool deliver_to_caller = running.caller_exchange->open();
    std::vector<char> buffer(stream_buffer_bytes);
    result.kept = true;
    do {
        const auto read = co_await connection.read_some(buffer);
        if (read.error)
            co_return result;
        const std::string_view data(buffer.data(), read.bytes);
        result.answer_bytes += read.bytes;
        result.kept = result.kept && result.answer_bytes <= kept_answer_limit_bytes;
        if (result.kept)
            result.answer.body.append(data);
        if (!deliver_to_caller)
            continue;
        if (!running.streaming) {
            running.streaming = true;
            co_await running.caller_exchange->begin_stream(head, data, connection.complete());
        }
        else {
            co_await running.caller_exchange->write_stream(data, connection.complete());
        }
    } while (!connection.complete() && !running.stop_reason);
    if (connection.complete())
        result.status = dispatch_status::answered;
    if (!result.kept)
        result.answer = {};
    co_return result;
}

/** Requests that a backend server stop a run whose answer will not be read. */
void dispatch_runner::cancel_run(const attempt& ended)
{
    if (!ended.to_server)
        return;
    outgoing_request request;
    request.method = "DELETE";
    request.target = "/runs/" + ended.run_id;
    auto cancellation =
        client_.fetch(ended.address, std::move(request), cancellation_limit, refusal_body_limit_bytes);
    asio::co_spawn(executor_, std::move(cancellation), asio::detached);
}

} // namespace knapweed::net
