#include "gateway/upstream_exchange.h"

#include "gateway/message_heads.h"
#include "gateway/relay_fields.h"
#include "net/answer_head.h"
#include "net/time_limit.h"

#include <array>

namespace knapweed::gateway {

namespace asio = net::asio;

namespace {

/** Body bytes that are read before an answer is delivered. If the answer breaks off within them, the request
   can be retried on another server, because the caller has received nothing yet. */
constexpr std::size_t max_buffered_bytes = 32768;
/** Answers to earlier requests that are skipped on one connection before the attempt fails. A server that
   copies its refusals may have refused several requests before. */
constexpr unsigned max_stale_answers = 16;
constexpr std::size_t max_stale_answer_bytes = 1U << 20U;
/** A server isn't cold for this long; what states it can't be right. */
constexpr core::milliseconds max_cold_time = std::chrono::hours(24);
constexpr double bytes_per_kilobyte = 1024;

} // namespace

upstream_exchange::upstream_exchange(asio::any_io_executor executor, net::connection_pool& connections,
                                     const http_dialect& dialect, std::string request_id)
    : executor_(std::move(executor)), connections_(connections), dialect_(dialect),
      request_id_(std::move(request_id)), request_id_hash_(core::hash_text(request_id_))
{}

bool upstream_exchange::acquire(const std::string& address, std::size_t limit, core::duration longest_idle)
{
    buffered_body_.clear();
    buffered_whole_ = false;
    place_ = {};
    must_discard_connection_ = false;
    answer_malformed_ = false;
    connection_ = connections_.acquire(address, limit, longest_idle, request_id_hash_);
    return connection_ != nullptr;
}

asio::awaitable<steering::connect_failure> upstream_exchange::open(core::duration limit)
{
    const net::time_limit connect_limit(executor_, limit, [this] { abort(); });
    const auto error = co_await connection_->connect();
    co_return classify_connect_error(error, connect_limit.expired());
}

asio::awaitable<bool> upstream_exchange::send(std::string_view head, const caller_request& request)
{
    const auto written = co_await connection_->write_message(head, request.body);
    if (written.error && written.bytes == 0)
        co_return false;
    place_ = {connection_->number(), connection_->requests()};
    // A server may answer early and close the connection without reading the whole body: its answer is valid.
    if (written.error)
        must_discard_connection_ = true;
    if (request.method == "HEAD")
        connection_->carried().mark_bodiless(request_id_hash_);
    co_return true;
}

asio::awaitable<bool> upstream_exchange::read_head()
{
    constexpr unsigned first_final_status = 200;
    int interim_answers = 0;
    while (interim_answers <= net::max_interim_answers && place_.skipped_answers <= max_stale_answers) {
        const auto error = co_await connection_->read_head(make_bodiless_rule());
        if (error) {
            answer_malformed_ = net::is_malformed_answer(error);
            co_return false;
        }
        if (connection_->status() < first_final_status) {
            ++interim_answers;
        }
        else if (is_for_another_request(extract_answer_facts())) {
            // A late answer to an earlier request on this connection; the answer to this request may follow.
            must_discard_connection_ = true;
            ++place_.skipped_answers;
            interim_answers = 0;
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

/** Copies of answers to earlier requests on the connection may be HEAD requests' or not, whatever this one
 * is. */
net::bodiless_rule upstream_exchange::make_bodiless_rule() const
{
    if (!connection_->carried().any_bodiless())
        return {};
    return [this](const auto& field) {
        const auto id = field(dialect_.request_id_field);
        return connection_->carried().is_bodiless(id.empty() ? request_id_hash_ : core::hash_text(id));
    };
}

asio::awaitable<bool> upstream_exchange::skip_body()
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

asio::awaitable<bool> upstream_exchange::buffer_body()
{
    std::array<char, 4096> buffer{};
    const auto wants_more = [this](std::size_t bytes) {
        return bytes < max_buffered_bytes || (buffers_more_ && buffers_more_(bytes));
    };
    while (!connection_->complete() && wants_more(buffered_body_.size())) {
        const auto read = co_await connection_->read_some(buffer);
        if (read.error)
            co_return false;
        buffered_body_.append(buffer.data(), read.bytes);
    }
    buffered_whole_ = connection_->complete();
    co_return true;
}

answer_facts upstream_exchange::extract_answer_facts() const
{
    const auto id = connection_->field(dialect_.request_id_field);
    answer_facts facts;
    facts.status = connection_->status();
    facts.has_request_id = !id.empty();
    facts.matches_request = id == request_id_;
    facts.may_be_late = connection_->reused() || place_.skipped_answers > 0;
    facts.has_signature = !connection_->field(dialect_.signature_field).empty();
    facts.marked_not_run = !connection_->field(dialect_.not_run_field).empty();
    facts.states_reason = !connection_->field(reason_field).empty();
    facts.encoded = !connection_->field("content-encoding").empty();
    return facts;
}

void upstream_exchange::extract_statements(steering::attempt_result& result) const
{
    using steering::attempt_outcome;
    const auto outcome = classify_answer(extract_answer_facts());
    if (outcome == attempt_outcome::wrong_server || outcome == attempt_outcome::answer_invalid)
        return;
    extract_load(result);
    extract_notice(result);
}

void upstream_exchange::extract_load(steering::attempt_result& result) const
{
    result.load = dialect_.parse_load(connection_->field(dialect_.load_field));
    if (const auto limit = connection_->field(dialect_.request_limit_field); !limit.empty()) {
        result.request_limit = dialect_.parse_request_limit(limit);
        result.malformed_limit = !result.request_limit;
    }
    const auto cold_time = parse_milliseconds(connection_->field(dialect_.remaining_cold_time_field));
    if (cold_time && *cold_time < max_cold_time)
        result.remaining_cold_time = cold_time;
    result.answer_kilobytes =
        static_cast<double>(connection_->content_length().value_or(buffered_body_.size())) /
        bytes_per_kilobyte;
}

void upstream_exchange::extract_notice(steering::attempt_result& result) const
{
    constexpr unsigned unavailable = 503;
    if (const auto rest = connection_->field("retry-after");
        connection_->status() == unavailable && !rest.empty()) {
        result.rest = parse_rest(rest);
        result.malformed_rest = !result.rest;
    }
    result.leaving =
        dialect_.parse_leaving && dialect_.parse_leaving(connection_->field(dialect_.leaving_field));
}

void upstream_exchange::release()
{
    if (!connection_)
        return;
    if (!must_discard_connection_ && connection_->complete()) {
        const auto idle_time = usable_idle_time(connection_->field("keep-alive"));
        connections_.release(std::move(connection_), idle_time);
    }
    connection_.reset();
}

void upstream_exchange::time_out()
{
    timed_out_ = true;
    abort();
}

void upstream_exchange::abort()
{
    if (connection_)
        connection_->close();
}

} // namespace knapweed::gateway
