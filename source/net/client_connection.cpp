#include "net/client_connection.h"

#include "net/answer_head.h"
#include "net/message_limits.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <sys/socket.h>

namespace knapweed::net {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::uint32_t answer_header_limit_bytes = 64 * 1024;
constexpr std::size_t read_bytes = 2048;
constexpr unsigned first_final_status = 200;

std::string_view view(beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

struct client_connection::state {
    explicit state(const asio::any_io_executor& executor) : socket(executor) {}

    void expect_answer()
    {
        parser.emplace();
        parser->header_limit(answer_header_limit_bytes);
        parser->body_limit(boost::none);
        received_after_head = 0;
        body_bytes = 0;
    }

    tcp::socket socket;
    beast::flat_buffer buffer{answer_header_limit_bytes + max_unparsed_bytes};
    std::optional<http::response_parser<http::buffer_body>> parser;
    /** The other side may have reset the connection; the failed write then has consumed that error, and a
       read would see an orderly end. */
    bool write_failed = false;
    std::uint64_t received_after_head = 0; ///< bytes of the current answer
    std::uint64_t body_bytes = 0;          ///< bytes of the body among them
};

client_connection::client_connection(const asio::any_io_executor& executor, std::uint64_t number,
                                     std::string address, tcp::endpoint remote,
                                     std::shared_ptr<std::size_t> open_count)
    : number_(number), address_(std::move(address)), remote_(std::move(remote)),
      open_count_(std::move(open_count)), state_(std::make_unique<state>(executor))
{}

client_connection::~client_connection()
{
    --*open_count_;
}

asio::awaitable<error_code> client_connection::connect()
{
    auto [error] = co_await state_->socket.async_connect(remote_, as_result);
    if (error)
        co_return error;
    connected_ = true;
    error_code ignored;
    state_->socket.set_option(tcp::no_delay(true), ignored);
    co_return error;
}

asio::awaitable<transfer_result> client_connection::write(const outgoing_request& request)
{
    ++requests_;
    state_->expect_answer();
    http::request<http::span_body<const char>> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, address_);
    for (const auto& field : request.fields)
        message.set(field.name, field.value);
    message.body() = {request.body.data(), request.body.size()};
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT")
        message.content_length(request.body.size());
    http::request_serializer<http::span_body<const char>> serializer(message);
    auto [error, bytes] = co_await http::async_write(state_->socket, serializer, as_result);
    state_->write_failed = state_->write_failed || error;
    co_return transfer_result{error, bytes};
}

asio::awaitable<transfer_result> client_connection::write_message(std::string_view head,
                                                                  std::string_view body)
{
    ++requests_;
    state_->expect_answer();
    const std::array<asio::const_buffer, 2> parts{asio::buffer(head.data(), head.size()),
                                                  asio::buffer(body.data(), body.size())};
    auto [error, bytes] = co_await asio::async_write(state_->socket, parts, as_result);
    state_->write_failed = state_->write_failed || error;
    co_return transfer_result{error, bytes};
}

void client_connection::expect_next_answer()
{
    state_->expect_answer();
}

asio::awaitable<error_code> client_connection::decide_body(const bodiless_rule& is_bodiless)
{
    auto& buffer = state_->buffer;
    const auto received = [&buffer] {
        return std::string_view(static_cast<const char*>(buffer.data().data()), buffer.size());
    };
    while (received().find("\r\n\r\n") == std::string_view::npos) {
        const auto room = std::min(read_bytes, buffer.max_size() - buffer.size());
        if (room == 0)
            co_return http::error::header_limit;
        auto [error, bytes] = co_await state_->socket.async_read_some(buffer.prepare(room), as_result);
        if (error)
            co_return error;
        buffer.commit(bytes);
    }
    // The parser must know whether a body follows before it reads the head, so another one reads it first.
    http::response_parser<http::empty_body> head;
    head.header_limit(answer_header_limit_bytes);
    head.skip(true);
    error_code error;
    head.put(buffer.data(), error);
    if (!error) {
        state_->parser->skip(is_bodiless([&head](std::string_view name) {
            return view(head.get()[beast::string_view(name.data(), name.size())]);
        }));
    }
    co_return error;
}

asio::awaitable<error_code> client_connection::read_head(bodiless_rule is_bodiless)
{
    if (is_bodiless) {
        const auto head_error = co_await decide_body(is_bodiless);
        if (head_error)
            co_return head_error;
    }
    auto [error, bytes] =
        co_await http::async_read_header(state_->socket, state_->buffer, *state_->parser, as_result);
    co_return error ? error : check_answer_head(state_->parser->get());
}

asio::awaitable<error_code> client_connection::read_final_head()
{
    for (int interim_answers = 0; interim_answers <= max_interim_answers; ++interim_answers) {
        const auto head_error = co_await read_head();
        if (head_error || status() >= first_final_status)
            co_return head_error;
        expect_next_answer();
    }
    co_return http::error::bad_status;
}

unsigned client_connection::status() const
{
    return state_->parser->get().result_int();
}

std::string_view client_connection::field(std::string_view name) const
{
    return view(state_->parser->get()[beast::string_view(name.data(), name.size())]);
}

std::string_view client_connection::reason() const
{
    return view(state_->parser->get().reason());
}

void client_connection::visit_fields(
    const std::function<void(std::string_view, std::string_view)>& visit) const
{
    for (const auto& field : state_->parser->get())
        visit(view(field.name_string()), view(field.value()));
}

std::optional<std::uint64_t> client_connection::content_length() const
{
    const auto length = state_->parser->content_length();
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

bool client_connection::delimited() const
{
    return !state_->parser->need_eof();
}

bool client_connection::complete() const
{
    return state_->parser && state_->parser->is_done() &&
           !(state_->parser->need_eof() && state_->write_failed);
}

asio::awaitable<transfer_result> client_connection::read_some(std::span<char> buffer)
{
    auto& parser = *state_->parser;
    auto& body = parser.get().body();
    body.data = buffer.data();
    body.size = buffer.size();
    while (!parser.is_done() && body.size == buffer.size()) {
        auto [error, bytes] =
            co_await http::async_read_some(state_->socket, state_->buffer, parser, as_result);
        state_->received_after_head += bytes;
        const auto read = buffer.size() - body.size;
        if (error && error != http::error::need_buffer)
            co_return transfer_result{error, read};
        if (has_excessive_framing(state_->received_after_head, state_->body_bytes + read))
            co_return transfer_result{http::error::buffer_overflow, read};
    }
    const auto read = buffer.size() - body.size;
    state_->body_bytes += read;
    if (parser.is_done() && parser.need_eof() && state_->write_failed)
        co_return transfer_result{asio::error::connection_reset, read};
    co_return transfer_result{{}, read};
}

bool client_connection::reusable() const
{
    return connected_ && state_->socket.is_open() && complete() && state_->parser->keep_alive() &&
           state_->buffer.size() == 0 && !carried_.full();
}

void client_connection::rest(core::time_point now, core::duration limit)
{
    idle_since_ = now;
    idle_limit_ = limit;
}

bool client_connection::open_and_silent()
{
    if (!state_->socket.is_open())
        return false;
    char byte = 0;
    const auto received = ::recv(state_->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void client_connection::close()
{
    error_code ignored;
    state_->socket.close(ignored);
}

} // namespace knapweed::net
