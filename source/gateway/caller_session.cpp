#include "gateway/caller_session.h"

#include "gateway/head_reading.h"
#include "net/message_limits.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace knapweed::gateway {

namespace asio = net::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using net::as_result;

namespace {

/** Requests of one connection that may be unanswered at a time; further ones stay unread. */
constexpr std::size_t max_pipelined_requests = 32;
/** Time for which a connection stays open after this side has shut down sending and the caller's system has
   received the last answer. */
constexpr core::milliseconds linger_time{1000};
constexpr std::size_t initial_read_bytes = 2048;
/** Stated when a body doesn't fit beside others. Those are read and forwarded within about this time. */
constexpr core::milliseconds body_retry_after{500};

constexpr unsigned bad_request = 400;
constexpr unsigned request_timeout = 408;
constexpr unsigned body_too_large = 413;
constexpr unsigned head_too_large = 431;

std::string_view view(beast::string_view text)
{
    return {text.data(), text.size()};
}

/** @returns whether the head determines the end and the target of the request without ambiguity. */
bool is_well_framed(const http::request<http::string_body>& request)
{
    constexpr unsigned http_1_1 = 11;
    if (request.version() != http_1_1 || request.count(http::field::host) != 1)
        return false;
    if (request.target().empty() || request.target().front() != '/')
        return false;
    if (request.count(http::field::content_length) > 1)
        return false;
    const auto codings = request.count(http::field::transfer_encoding);
    return codings == 0 || (codings == 1 && request.count(http::field::content_length) == 0 &&
                            beast::iequals(request[http::field::transfer_encoding], "chunked"));
}

unsigned status_of(const boost::system::error_code& error)
{
    if (error == http::error::header_limit)
        return head_too_large;
    if (error == http::error::body_limit)
        return body_too_large;
    return bad_request;
}

bool is_http_error(const boost::system::error_code& error)
{
    return error.category() == make_error_code(http::error::bad_method).category() &&
           error != http::error::end_of_stream && error != http::error::partial_message;
}

/** Answers a rejected request. A lambda coroutine would not work: its captures could be destroyed before the
   coroutine ends. */
asio::awaitable<void> answer_rejected(std::shared_ptr<caller_exchange> exchange, unsigned status,
                                      std::string reason)
{
    const answer_head head{status, "Rejected", "Content-Type: text/plain\r\n", {}};
    co_await exchange->answer(head, reason + "\n");
}

} // namespace

struct caller_session::stream {
    explicit stream(net::tcp::socket connected) : socket(std::move(connected)) {}

    net::tcp::socket socket;
    beast::flat_buffer buffer;
};

caller_session::caller_session(net::tcp::socket socket, std::shared_ptr<session_context> context)
    : context_(std::move(context)), stream_(std::make_unique<stream>(std::move(socket))),
      lifetime_(context_->shutdown), phase_began_(context_->time.now())
{
    net::error_code ignored;
    stream_->socket.set_option(net::tcp::no_delay(true), ignored);
    ++context_->sessions;
}

caller_session::~caller_session()
{
    --context_->sessions;
}

asio::any_io_executor caller_session::executor()
{
    return stream_->socket.get_executor();
}

asio::awaitable<void> caller_session::run()
{
    const auto self = shared_from_this();
    bool readable = true;
    while (readable && !closed_ && lifetime_.takes_requests()) {
        co_await wait_for_pipeline_slot();
        auto exchange = co_await read_request();
        readable = exchange != nullptr;
        if (exchange)
            start(std::move(exchange), context_->handle);
    }
    co_await discard_until_closed();
    close();
}

asio::awaitable<void> caller_session::wait_for_pipeline_slot()
{
    while (!closed_ && exchanges_.size() >= max_pipelined_requests) {
        slot_signal_.emplace(executor(), asio::steady_timer::time_point::max());
        co_await slot_signal_->async_wait(as_result);
    }
}

asio::awaitable<std::shared_ptr<caller_exchange>> caller_session::read_request()
{
    auto& [socket, buffer] = *stream_;
    phase_ = read_phase::idle;
    phase_began_ = context_->time.now();
    while (buffer.size() == 0) {
        auto [error, bytes] = co_await socket.async_read_some(buffer.prepare(initial_read_bytes), as_result);
        const bool to_close = std::exchange(close_when_idle_, false) && exchanges_.empty();
        if (error == asio::error::operation_aborted && to_close && !closed_) {
            if (peek() > 0)
                continue; // a request has arrived meanwhile
            shut_down_sending();
            co_return nullptr;
        }
        if (error) {
            close();
            co_return nullptr;
        }
        buffer.commit(bytes);
    }
    if (!lifetime_.takes_requests())
        co_return nullptr;
    const auto received = context_->time.now();
    const auto limits = context_->limits();
    phase_ = read_phase::reading_head;
    phase_began_ = received;
    buffer.max_size(std::max<std::size_t>(buffer.size(), limits.header_bytes + net::max_unparsed_bytes));
    request_parser parser;
    parser.header_limit(limits.header_bytes);
    parser.body_limit(limits.body_bytes);
    claim_ = context_->bodies.claim_head(limits.header_timeout, received);
    auto error = co_await receive_head(socket, buffer, limits.header_bytes, claim_, context_->time);
    if (error == no_body_space()) {
        // Nothing is known of the request, so it can't be answered. One that was not read has not run.
        context_->counters.add(net::counter::connections_refused);
        close();
        co_return nullptr;
    }
    if (!error) {
        auto [head_error, head_bytes] = co_await http::async_read_header(socket, buffer, parser, as_result);
        error = head_error;
        if (!error && !claim_.cover(head_memory(head_bytes), context_->time.now()))
            error = no_body_space();
    }
    const auto& message = parser.get();
    if (!error && !is_well_framed(message))
        error = make_error_code(http::error::bad_field);
    if (!error && !parser.is_done() &&
        !claim_.begin_body(stated_length(parser), limits.idle_timeout, context_->time.now()))
        error = no_body_space();
    if (!error && beast::iequals(message[http::field::expect], "100-continue") && exchanges_.empty()) {
        if (!co_await write("HTTP/1.1 100 Continue\r\n\r\n", {}))
            co_return nullptr;
    }
    phase_ = read_phase::reading_body;
    if (!error && !parser.is_done())
        error = co_await read_body(socket, buffer, parser, claim_, context_->time);
    auto claim = std::move(claim_);
    claim.body_is_whole();
    phase_ = read_phase::idle;
    phase_began_ = context_->time.now();
    if (!lifetime_.takes_requests())
        co_return nullptr; // decided while the request was being read
    if (timed_out_ || is_http_error(error)) {
        context_->counters.add(net::counter::requests_malformed);
        reject(timed_out_ ? request_timeout : status_of(error),
               timed_out_ ? "the request took too long to arrive" : error.message());
        co_return nullptr;
    }
    const bool body_refused = error == no_body_space();
    if (error && !body_refused) {
        close();
        co_return nullptr;
    }
    context_->counters.add(net::counter::requests_received);
    caller_request request;
    request.method = view(message.method_string());
    request.target = view(message.target());
    net::error_code address_unknown;
    const auto remote = socket.remote_endpoint(address_unknown);
    if (!address_unknown)
        request.caller = remote.address().to_string();
    request.keep_alive = message.keep_alive();
    request.received = received;
    for (const auto& field : message)
        request.fields.push_back({std::string(view(field.name_string())), std::string(view(field.value()))});
    if (body_refused) {
        const bool can_fit = context_->bodies.can_fit(stated_length(parser).value_or(0));
        request.body_refused = {can_fit ? body_retry_after : core::duration::zero()};
        request.keep_alive = false; // the rest of the body is not read
    }
    else {
        request.body = std::move(parser.get().body());
        request.claim = std::move(claim);
    }
    co_return std::make_shared<caller_exchange>(shared_from_this(), std::move(request));
}

void caller_session::start(std::shared_ptr<caller_exchange> exchange, const session_context::handler& handle)
{
    lifetime_.request_taken(exchange->request().keep_alive);
    exchange->number_ = order_.add();
    exchanges_.push_back(exchange);
    asio::co_spawn(executor(), handle(std::move(exchange)),
                   [session = shared_from_this()](const std::exception_ptr& error) {
                       if (error)
                           session->fail(error);
                   });
}

void caller_session::reject(unsigned status, std::string_view reason)
{
    caller_request placeholder;
    placeholder.keep_alive = false;
    auto exchange = std::make_shared<caller_exchange>(shared_from_this(), std::move(placeholder));
    start(std::move(exchange),
          [status, reason = std::string(reason)](std::shared_ptr<caller_exchange> rejected) {
              return answer_rejected(std::move(rejected), status, reason);
          });
}

asio::awaitable<void> caller_session::discard_until_closed()
{
    // One buffer for all sessions, whose content nobody reads: many callers that were refused can go on
    // sending, and small reads would take the processor from the others.
    static thread_local std::array<char, 65536> discarded;
    phase_ = read_phase::discarding;
    phase_began_ = context_->time.now();
    while (!closed_) {
        auto [error, bytes] = co_await stream_->socket.async_read_some(asio::buffer(discarded), as_result);
        if (error)
            co_return;
    }
}

bool caller_session::is_next_to_answer(const caller_exchange& exchange) const
{
    return !exchanges_.empty() && exchanges_.front().get() == &exchange;
}

asio::awaitable<bool> caller_session::write(std::string_view head, std::string_view body)
{
    if (closed_)
        co_return false;
    const std::array<asio::const_buffer, 2> parts{asio::buffer(head.data(), head.size()),
                                                  asio::buffer(body.data(), body.size())};
    write_began_ = context_->time.now();
    auto [error, bytes] = co_await asio::async_write(stream_->socket, parts, as_result);
    write_began_.reset();
    context_->counters.add(net::counter::bytes_to_callers, bytes);
    if (error)
        close();
    co_return !error;
}

void caller_session::complete_exchange(const caller_exchange& exchange, bool keep_alive)
{
    if (!is_next_to_answer(exchange))
        return; // the connection has been closed
    exchanges_.front()->on_caller_disconnected_ = nullptr;
    exchanges_.pop_front();
    order_.remove_first();
    phase_began_ = context_->time.now();
    if (!keep_alive)
        shut_down_sending();
    else
        notify_exchanges();
    if (slot_signal_)
        slot_signal_->cancel();
}

void caller_session::notify_exchanges()
{
    for (const auto& exchange : exchanges_) {
        if (exchange->signal_)
            exchange->signal_->cancel();
    }
}

/** Shuts down the sending side after the last answer; the receiving side stays open. Closing a socket with
   unread bytes would reset the connection, and the last answer could be lost. */
void caller_session::shut_down_sending()
{
    sending_shut_down_ = true;
    lifetime_.end();
    phase_began_ = context_->time.now();
    const auto unanswered = std::move(exchanges_);
    exchanges_.clear();
    for (const auto& exchange : unanswered)
        exchange->mark_disconnected();
    net::error_code ignored;
    stream_->socket.shutdown(net::tcp::socket::shutdown_send, ignored);
}

void caller_session::check_timeouts()
{
    if (closed_)
        return;
    const auto now = context_->time.now();
    const auto elapsed = now - phase_began_;
    const auto limits = context_->limits();
    if (write_began_ && now - *write_began_ >= limits.idle_timeout) {
        close(); // the caller doesn't read its answer
        return;
    }
    if (exchanges_.size() >= max_pipelined_requests)
        detect_disconnect(); // nothing is being read that would report it
    if (sending_shut_down_) {
        // If the caller sends more after the close, a reset takes along what it hasn't received yet.
        if (elapsed >= (has_undelivered() ? std::max(limits.idle_timeout, linger_time) : linger_time))
            close();
        return;
    }
    switch (phase_) {
    case read_phase::idle:
        if (exchanges_.empty() && elapsed >= limits.idle_timeout)
            shut_down_sending();
        break;
    case read_phase::reading_head:
    case read_phase::reading_body:
        if (claim_.revoked()) {
            net::error_code ignored;
            stream_->socket.cancel(ignored);
        }
        if (elapsed >= (phase_ == read_phase::reading_head ? limits.header_timeout : limits.idle_timeout)) {
            timed_out_ = true;
            net::error_code ignored;
            stream_->socket.cancel(ignored);
        }
        break;
    case read_phase::discarding:
        break;
    }
}

void caller_session::close_if_idle()
{
    if (closed_ || sending_shut_down_ || phase_ != read_phase::idle || !exchanges_.empty())
        return;
    // The read may have received a request already although its coroutine has not resumed yet; then it ends
    // without an error and the request is answered.
    close_when_idle_ = true;
    net::error_code ignored;
    stream_->socket.cancel(ignored);
}

std::optional<core::duration> caller_session::standstill() const
{
    if (closed_ || !exchanges_.empty() || write_began_)
        return std::nullopt;
    // A close would take along the part of the last answer that the caller has not received yet.
    int undelivered = 0;
    if (::ioctl(stream_->socket.native_handle(), SIOCOUTQ, &undelivered) == 0 && undelivered > 0)
        return std::nullopt;
    return context_->time.now() - phase_began_;
}

void caller_session::detect_disconnect()
{
    if (closed_)
        return;
    const auto received = peek();
    if (received == 0 || (received > 0 && has_end_behind_unread()))
        close();
}

/** @returns whether the caller's system has not yet confirmed all that was written. */
bool caller_session::has_undelivered()
{
    int bytes = 0;
    return ::ioctl(stream_->socket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

/** @returns 1 when a received byte can be read, 0 when the caller has closed the connection, and -1
 * otherwise. */
int caller_session::peek()
{
    char byte = 0;
    return static_cast<int>(::recv(stream_->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT));
}

/** @returns whether the caller has closed the connection behind bytes that are still unread. */
bool caller_session::has_end_behind_unread()
{
    pollfd polled{stream_->socket.native_handle(), POLLRDHUP, 0};
    return ::poll(&polled, 1, 0) > 0;
}

void caller_session::fail(const std::exception_ptr& error)
{
    context_->on_error(net::describe(error));
    close();
}

void caller_session::close()
{
    if (std::exchange(closed_, true))
        return;
    lifetime_.end(); // a request that has been read may not have been started yet
    net::error_code ignored;
    stream_->socket.close(ignored);
    const auto unanswered = std::move(exchanges_);
    exchanges_.clear();
    for (const auto& exchange : unanswered)
        exchange->mark_disconnected();
    if (slot_signal_)
        slot_signal_->cancel();
}

} // namespace knapweed::gateway
