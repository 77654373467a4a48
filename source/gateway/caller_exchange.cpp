#include "gateway/caller_exchange.h"

#include "gateway/caller_session.h"
#include "gateway/field_names.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>

namespace knapweed::gateway {

namespace {

/** @returns the value of the element `name=value` of a list, empty when absent. */
std::string_view find_pair(std::string_view list, std::string_view name, char separator)
{
    while (!list.empty()) {
        const auto end = std::min(list.find(separator), list.size());
        const auto pair = trim(list.substr(0, end));
        list.remove_prefix(std::min(end + 1, list.size()));
        if (pair.size() > name.size() && pair.starts_with(name) && pair[name.size()] == '=')
            return pair.substr(name.size() + 1);
    }
    return {};
}

/** @returns whether answers with this status have neither a body nor a Content-Length. */
bool has_no_body(unsigned status)
{
    constexpr unsigned no_content = 204;
    constexpr unsigned not_modified = 304;
    return status == no_content || status == not_modified;
}

} // namespace

std::string_view caller_request::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

std::string_view caller_request::query(std::string_view name) const
{
    const auto begin = target.find('?');
    return begin == std::string::npos ? std::string_view{}
                                      : find_pair(std::string_view(target).substr(begin + 1), name, '&');
}

std::string_view caller_request::field(std::string_view name) const
{
    for (const auto& header : fields) {
        if (is_same_field(header.name, name))
            return header.value;
    }
    return {};
}

std::size_t caller_request::count(std::string_view name) const
{
    return static_cast<std::size_t>(std::count_if(
        fields.begin(), fields.end(), [name](const auto& field) { return is_same_field(field.name, name); }));
}

std::string_view caller_request::cookie(std::string_view name) const
{
    for (const auto& header : fields) {
        if (!is_same_field(header.name, "cookie"))
            continue;
        if (const auto value = find_pair(header.value, name, ';'); !value.empty())
            return value;
    }
    return {};
}

caller_exchange::caller_exchange(std::shared_ptr<caller_session> session, caller_request request)
    : session_(std::move(session)), request_(std::move(request)), keep_alive_(request_.keep_alive)
{}

caller_exchange::~caller_exchange() = default;

bool caller_exchange::detect_disconnect()
{
    if (!caller_disconnected_)
        session_->detect_disconnect();
    return caller_disconnected_;
}

void caller_exchange::mark_disconnected()
{
    caller_disconnected_ = true;
    if (signal_)
        signal_->cancel();
    if (auto callback = std::exchange(on_caller_disconnected_, nullptr))
        callback();
}

net::asio::awaitable<bool> caller_exchange::wait_for_turn()
{
    while (!caller_disconnected_ && !session_->is_next_to_answer(*this))
        co_await wait_for_signal();
    co_return !caller_disconnected_;
}

net::asio::awaitable<void> caller_exchange::wait_for_signal()
{
    signal_.emplace(session_->executor(), net::asio::steady_timer::time_point::max());
    co_await signal_->async_wait(net::as_result);
}

net::asio::awaitable<bool> caller_exchange::wait_to_pass_on()
{
    while (!caller_disconnected_ && !session_->order_.may_pass_on(number_))
        co_await wait_for_signal();
    co_return !caller_disconnected_;
}

void caller_exchange::pass_on(bool in_parts)
{
    if (caller_disconnected_)
        return;
    session_->order_.begin(number_, in_parts);
    session_->notify_exchanges();
}

bool caller_exchange::others_passed_on_behind() const
{
    return !caller_disconnected_ && session_->order_.any_begun_behind(number_);
}

std::string caller_exchange::make_head(const answer_head& head, std::string_view framing,
                                       bool keep_alive) const
{
    std::string text;
    text.reserve(64 + head.reason.size() + head.fields.size() + framing.size());
    text += "HTTP/1.1 ";
    text += std::to_string(head.status);
    text += ' ';
    text += head.reason;
    text += "\r\n";
    text += head.fields;
    text += framing;
    if (!keep_alive)
        text += "Connection: close\r\n";
    text += "\r\n";
    return text;
}

net::asio::awaitable<bool> caller_exchange::answer(const answer_head& head, std::string_view body)
{
    pass_on(false);
    if (!co_await wait_for_turn())
        co_return false;
    keep_alive_ = !session_->lifetime_.next_answer_closes();
    std::string framing;
    if (!has_no_body(head.status))
        framing = "Content-Length: " + std::to_string(head.declared_length.value_or(body.size())) + "\r\n";
    const bool omits_body = has_no_body(head.status) || request_.method == "HEAD";
    const auto text = make_head(head, framing, keep_alive_);
    const bool written = co_await session_->write(text, omits_body ? std::string_view{} : body);
    session_->complete_exchange(*this, written && keep_alive_);
    co_return written;
}

net::asio::awaitable<bool> caller_exchange::begin_answer(const answer_head& head,
                                                         std::optional<std::uint64_t> length)
{
    if (!caller_disconnected_)
        session_->order_.expect_parts(number_);
    if (!co_await wait_for_turn())
        co_return false;
    keep_alive_ = !session_->lifetime_.next_answer_closes();
    chunked_ = !length;
    const auto framing = length ? "Content-Length: " + std::to_string(*length) + "\r\n"
                                : std::string("Transfer-Encoding: chunked\r\n");
    const auto text = make_head(head, framing, keep_alive_);
    co_return co_await session_->write(text, {});
}

net::asio::awaitable<bool> caller_exchange::write_body(std::string_view part)
{
    if (caller_disconnected_ || part.empty())
        co_return !caller_disconnected_;
    if (!chunked_)
        co_return co_await session_->write(part, {});
    std::array<char, 24> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", part.size());
    if (!co_await session_->write(size.data(), part))
        co_return false;
    co_return co_await session_->write("\r\n", {});
}

net::asio::awaitable<bool> caller_exchange::end_answer()
{
    bool written = !caller_disconnected_;
    if (written && chunked_)
        written = co_await session_->write("0\r\n\r\n", {});
    session_->complete_exchange(*this, written && keep_alive_);
    co_return written;
}

void caller_exchange::abort_answer()
{
    // Closing could reset the connection and take along earlier answers that the caller hasn't received yet.
    session_->shut_down_sending();
}

} // namespace knapweed::gateway
