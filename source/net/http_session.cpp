#include "net/http_session.h"

#include "net/message_limits.h"

#include <algorithm>
#include <boost/beast/http.hpp>
#include <sys/socket.h>

namespace knapweed::net {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

// A batch of peer messages may contain a whole configuration.
constexpr std::size_t rpc_body_limit_bytes = 8U << 20U;
// Data read and discarded after an early refusal. Closing with unread data would reset the connection, and
// the reset could reach the client before the answer.
constexpr std::size_t discard_limit_bytes = 4U << 20U;
constexpr core::milliseconds discard_time_limit{2000};
// Added to the timeout of a request. The decision thread answers within that timeout; this limit ends the
// exchange if it does not.
constexpr core::milliseconds answer_time_margin{5000};
constexpr core::milliseconds lookup_time_limit{5000};
constexpr core::milliseconds operator_time_limit{30000};

std::string_view view(beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

struct http_session::incoming_request {
    http::request_parser<http::string_body> parser;

    [[nodiscard]] auto& message() { return parser.get(); }
    [[nodiscard]] std::string_view target() { return view(parser.get().target()); }
    [[nodiscard]] std::string_view path() { return target().substr(0, target().find('?')); }
    [[nodiscard]] std::string_view field(std::string_view name)
    {
        return view(parser.get()[beast::string_view(name.data(), name.size())]);
    }
};

struct http_session::outgoing_stream {
    http::response<http::buffer_body> message;
    http::response_serializer<http::buffer_body> serializer{message};
};

http_session::http_session(tcp::socket socket, std::shared_ptr<server_context> context)
    : context_(std::move(context)), stream_(std::move(socket))
{
    error_code ignored;
    stream_.socket().set_option(tcp::no_delay(true), ignored);
    over_limit_ = context_->session_count >= context_->limits.connections;
    ++context_->session_count;
    context_->reports.set(gauge::caller_connections, static_cast<double>(context_->session_count));
}

http_session::~http_session()
{
    --context_->session_count;
    context_->reports.set(gauge::caller_connections, static_cast<double>(context_->session_count));
}

asio::awaitable<void> http_session::run()
{
    const auto self = shared_from_this();
    bool next = true;
    while (next && !context_->stopped) {
        next = co_await serve_next();
        idle_ = true;
    }
    close_connection();
}

void http_session::close_if_idle()
{
    if (idle_)
        close_connection();
}

void http_session::close_connection()
{
    error_code ignored;
    stream_.socket().close(ignored);
}

asio::awaitable<bool> http_session::serve_next()
{
    if (buffer_.size() == 0) {
        stream_.expires_after(context_->limits.idle_time);
        const auto [error, bytes] =
            co_await stream_.async_read_some(buffer_.prepare(context_->limits.header_bytes), as_result);
        if (error)
            co_return false;
        buffer_.commit(bytes);
    }
    idle_ = false;
    incoming_request request;
    auto failure = co_await read_request(request);
    if (failure) {
        keep_alive_ = false;
        co_await write_whole(std::move(*failure));
        co_await close_after_error();
        co_return false;
    }
    if (!whole_request_read_)
        co_return false;
    context_->reports.add(counter::requests_received);
    if (context_->stopped && request.path() != "/rpc")
        co_return co_await refuse(core::refusal_reason::leaving, "the instance has stopped");
    if (over_limit_) {
        keep_alive_ = false;
        co_return co_await refuse(core::refusal_reason::overloaded, "too many connections");
    }
    const bool written = co_await answer_request(request);
    co_return written&& keep_alive_;
}

/** Reads a request within the size limits.
    @returns the refusal of a request that is malformed or too large; otherwise nothing, also when the
    connection was lost before the request was complete. */
asio::awaitable<std::optional<whole_answer>> http_session::read_request(incoming_request& request)
{
    whole_request_read_ = false;
    auto& parser = request.parser;
    buffer_.max_size(
        std::max<std::size_t>(buffer_.size(), context_->limits.header_bytes + max_unparsed_bytes));
    parser.header_limit(context_->limits.header_bytes);
    parser.body_limit(rpc_body_limit_bytes);
    stream_.expires_after(context_->limits.idle_time);
    auto [error, bytes] = co_await http::async_read_header(stream_, buffer_, parser, as_result);
    const auto body_limit = request.path() == "/rpc" ? rpc_body_limit_bytes : context_->limits.body_bytes;
    if (!error) {
        keep_alive_ = parser.get().keep_alive();
        if (parser.content_length() && *parser.content_length() > body_limit)
            error = http::error::body_limit;
        else
            parser.body_limit(body_limit);
    }
    if (!error && beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        http::response<http::empty_body> continue_response(http::status::continue_, 11);
        auto [write_error, written] = co_await http::async_write(stream_, continue_response, as_result);
        error = write_error;
    }
    std::uint64_t received_bytes = 0;
    while (!error && !parser.is_done()) {
        stream_.expires_after(context_->limits.idle_time);
        auto [read_error, read] = co_await http::async_read_some(stream_, buffer_, parser, as_result);
        error = read_error;
        received_bytes += read;
        if (!error && has_excessive_framing(received_bytes, parser.get().body().size()))
            error = http::error::buffer_overflow;
    }
    whole_request_read_ = !error;
    if (!error && parser.get().version() == 11)
        co_return std::nullopt;
    if (error && error.category() != make_error_code(http::error::bad_method).category())
        co_return std::nullopt; // the connection was lost
    if (error == http::error::end_of_stream || error == http::error::partial_message)
        co_return std::nullopt;
    context_->reports.add(counter::requests_malformed);
    auto reason = core::refusal_reason::malformed_request;
    std::string detail = error ? error.message() : "HTTP/1.1 is required";
    if (error == http::error::header_limit) {
        reason = core::refusal_reason::header_too_large;
        detail = "the header exceeds " + std::to_string(context_->limits.header_bytes) + " bytes";
    }
    if (error == http::error::body_limit) {
        reason = core::refusal_reason::body_too_large;
        detail = "the body exceeds " + std::to_string(body_limit) + " bytes";
    }
    context_->reports.count(decision::count_refusal{reason, core::rank::standard});
    co_return make_refusal(reason, detail);
}

asio::awaitable<bool> http_session::answer_request(incoming_request& request)
{
    const auto method = request.message().method();
    const auto path = request.path();
    if (path.starts_with("/v1/services/"))
        return answer_service(request);
    if (path == "/v1/lookup" && method == http::verb::get)
        return answer_lookup(request);
    if (path == "/operator" && method == http::verb::post)
        return answer_operator(request);
    if (path == "/rpc" && method == http::verb::post) {
        whole_answer answer;
        answer.body = context_->peers.receive(request.message().body());
        return write_whole(std::move(answer));
    }
    if (path == "/healthz" && method == http::verb::get) {
        whole_answer answer;
        answer.status = context_->leaving ? 503 : 200;
        answer.body = context_->leaving ? R"({"state":"leaving"})" : R"({"state":"alive"})";
        return write_whole(std::move(answer));
    }
    if (path == "/metrics" && method == http::verb::get) {
        return [](http_session& session) -> asio::awaitable<bool> {
            whole_answer answer;
            answer.content_type = "text/plain; version=0.0.4";
            answer.body = co_await session.context_->metrics_text();
            co_return co_await session.write_whole(std::move(answer));
        }(*this);
    }
    return refuse(core::refusal_reason::unknown_path, "no such path or method");
}

asio::awaitable<bool> http_session::answer_service(incoming_request& request)
{
    const field_lookup field = [&request](std::string_view name) { return request.field(name); };
    auto parsed = parse_service_request(view(request.message().method_string()), request.target(), field);
    if (const auto* failure = std::get_if<head_failure>(&parsed)) {
        context_->reports.add(counter::requests_malformed);
        co_return co_await refuse(failure->reason, failure->detail);
    }
    auto& head = std::get<service_request_head>(parsed);
    const auto rank = head.meta.rank;
    const auto timeout = head.meta.timeout;
    auto& body = request.message().body();
    head.meta.body_hash = core::hash_text(body);
    head.meta.body_bytes = body.size();
    if (head.announced_body_hash && *head.announced_body_hash != head.meta.body_hash) {
        context_->reports.add(counter::requests_malformed);
        co_return co_await refuse(core::refusal_reason::malformed_request,
                                  "the body does not match Knapweed-Body-Hash", rank);
    }
    buffered_request buffered{std::string(view(request.message().method_string())),
                              std::string(request.target()),
                              std::move(head.backend_target),
                              std::string(request.field("Content-Type")),
                              std::string(request.field("Accept")),
                              std::move(body),
                              head.meta.caller,
                              head.meta.key,
                              head.meta.rank,
                              head.meta.idempotent};
    auto pending = context_->exchanges.open(std::move(buffered), shared_from_this());
    decision::request_received event{pending->id(), std::move(head.meta), head.from, std::move(head.sender),
                                     std::move(head.pool_data_centre)};
    if (!context_->events.try_send(std::move(event))) {
        context_->exchanges.erase(pending->id());
        co_return co_await refuse(core::refusal_reason::overloaded, "the instance is overloaded", rank);
    }
    co_return co_await answer_via_decision(std::move(pending), timeout + answer_time_margin);
}

asio::awaitable<bool> http_session::answer_lookup(incoming_request& request)
{
    const field_lookup field = [&request](std::string_view name) { return request.field(name); };
    auto parsed = parse_lookup(request.target(), field);
    if (const auto* failure = std::get_if<head_failure>(&parsed)) {
        context_->reports.add(counter::requests_malformed);
        co_return co_await refuse(failure->reason, failure->detail);
    }
    auto& head = std::get<lookup_head>(parsed);
    error_code address_error;
    const auto client = stream_.socket().remote_endpoint(address_error);
    auto pending = context_->exchanges.open({}, shared_from_this());
    decision::lookup_received event{pending->id(), std::move(head.caller), std::move(head.service),
                                    address_error ? std::string() : client.address().to_string()};
    if (!context_->events.try_send(std::move(event))) {
        context_->exchanges.erase(pending->id());
        co_return co_await refuse(core::refusal_reason::overloaded, "the instance is overloaded");
    }
    co_return co_await answer_via_decision(std::move(pending), lookup_time_limit);
}

asio::awaitable<bool> http_session::answer_operator(incoming_request& request)
{
    const auto call = context_->operators.parse(request.message().body());
    std::vector<std::string> results;
    for (const auto& command : call.commands) {
        auto pending = context_->exchanges.open({}, shared_from_this());
        decision::operator_command_received event{pending->id(), command.command, command.operation,
                                                  command.operator_name};
        if (!context_->events.try_send(std::move(event))) {
            context_->exchanges.erase(pending->id());
            results.emplace_back(R"({"accepted":false,"error":"overloaded"})");
            continue;
        }
        co_await pending->wait(operator_time_limit);
        auto result = pending->take_whole_answer();
        context_->exchanges.erase(pending->id());
        results.push_back(
            result
                ? std::move(result->body)
                : R"({"accepted":false,"error":"no result within 30 s; the command may still be executed"})");
    }
    whole_answer answer;
    answer.body = operator_rpc::complete(call, results);
    co_return co_await write_whole(std::move(answer));
}

asio::awaitable<bool> http_session::answer_via_decision(std::shared_ptr<exchange> pending,
                                                        core::duration limit)
{
    stream_.expires_never();
    watch_for_disconnect(pending);
    co_await pending->wait(limit);
    if (auto whole = pending->take_whole_answer())
        co_return co_await write_whole(std::move(*whole));
    if (!pending->finished() && !pending->caller_lost()) {
        pending->mark_caller_lost();
        context_->exchanges.erase(pending->id());
    }
    co_return pending->finished() && !pending->aborted() && !pending->caller_lost();
}

/** Detects that the caller closes the connection while its exchange waits for an answer. */
void http_session::watch_for_disconnect(std::weak_ptr<exchange> pending)
{
    if (watching_for_disconnect_)
        return;
    watching_for_disconnect_ = true;
    auto on_readable = [self = shared_from_this(), pending = std::move(pending)](error_code error) {
        self->watching_for_disconnect_ = false;
        const auto waiting = pending.lock();
        if (error || !waiting || waiting->finished())
            return;
        char byte = 0;
        const auto received =
            ::recv(self->stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (received > 0)
            return; // a pipelined request: a closed connection is then detected when the answer is written
        if (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            return self->watch_for_disconnect(pending);
        waiting->mark_caller_lost();
    };
    stream_.socket().async_wait(tcp::socket::wait_read, std::move(on_readable));
}

asio::awaitable<bool> http_session::refuse(core::refusal_reason reason, const std::string& detail,
                                           core::rank rank)
{
    context_->reports.count(decision::count_refusal{reason, rank});
    return write_whole(make_refusal(reason, detail));
}

asio::awaitable<bool> http_session::write_whole(whole_answer answer)
{
    http::response<http::string_body> message;
    message.version(11);
    message.result(answer.status);
    if (!answer.content_type.empty())
        message.set(http::field::content_type, answer.content_type);
    for (const auto& field : answer.fields)
        message.set(field.name, field.value);
    keep_alive_ = keep_alive_ && !context_->leaving;
    message.keep_alive(keep_alive_);
    message.body() = std::move(answer.body);
    message.prepare_payload();
    stream_.expires_after(context_->limits.idle_time);
    http::response_serializer<http::string_body> serializer(message);
    const auto [error, bytes] = co_await http::async_write(stream_, serializer, as_result);
    context_->reports.add(counter::bytes_to_callers, bytes);
    co_return !error;
}

asio::awaitable<bool> http_session::begin(const streamed_head& head, std::string_view first_data,
                                          bool is_last)
{
    answer_stream_ = std::make_unique<outgoing_stream>();
    auto& message = answer_stream_->message;
    message.version(11);
    message.result(head.status);
    if (!head.content_type.empty())
        message.set(http::field::content_type, head.content_type);
    message.set("Knapweed-Outcome", "done");
    keep_alive_ = keep_alive_ && !context_->leaving;
    message.keep_alive(keep_alive_);
    const bool has_body = head.status != 204 && head.status != 304;
    if (has_body && head.length)
        message.content_length(*head.length);
    else if (has_body)
        message.chunked(true);
    return write(first_data, is_last);
}

asio::awaitable<bool> http_session::write(std::string_view data, bool is_last)
{
    const auto stream = answer_stream_.get();
    auto& body = stream->message.body();
    body.data = const_cast<char*>(data.data()); // buffer_body has one pointer type for reading and writing
    body.size = data.size();
    body.more = !is_last;
    stream_.expires_after(context_->limits.idle_time);
    auto [error, bytes] = co_await http::async_write(stream_, stream->serializer, as_result);
    context_->reports.add(counter::bytes_to_callers, bytes);
    co_return !error || error == http::error::need_buffer;
}

/** Ends sending and discards what the client still sends, up to `discard_limit_bytes`. */
asio::awaitable<void> http_session::close_after_error()
{
    error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    stream_.expires_after(discard_time_limit);
    std::size_t discarded = 0;
    while (discarded < discard_limit_bytes) {
        buffer_.clear();
        const auto [error, bytes] = co_await stream_.async_read_some(buffer_.prepare(16384), as_result);
        if (error)
            co_return;
        discarded += bytes;
    }
}

} // namespace knapweed::net
