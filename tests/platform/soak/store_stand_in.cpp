#include "store_stand_in.h"

#include "platform/base64.h"
#include "query_parameter.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <sstream>

namespace knapweed::soak {

namespace asio = net::asio;
namespace http = boost::beast::http;
using nlohmann::json;

namespace {

constexpr core::milliseconds poll_interval{10};
constexpr core::milliseconds slow_answer{700};
constexpr core::milliseconds late_write{1500};
constexpr std::size_t bytes_per_part = 8192;
constexpr std::size_t rows_per_page = 6; ///< small, so that lists take several calls

std::uint64_t number(const std::string& text)
{
    return text.empty() ? 0 : std::stoull(text);
}

} // namespace

store_stand_in::store_stand_in(asio::any_io_executor executor)
    : executor_(std::move(executor)), acceptor_(executor_, {asio::ip::address_v4::loopback(), 0})
{
    asio::co_spawn(executor_, accept(), asio::detached);
}

void store_stand_in::write(const row_name& name, const std::string& value, bool removed)
{
    const row written{value, ++version_, removed};
    tables_[name.first][name.second] = written;
    past_writes_.push_back({std::chrono::steady_clock::now(), name, written});
}

void store_stand_in::put(const std::string& table, const std::string& key, const std::string& value)
{
    owned_rows_[{table, key}] = {value, 0, false};
    write({table, key}, value, false);
}

void store_stand_in::remove(const std::string& table, const std::string& key)
{
    owned_rows_[{table, key}] = {"", 0, true};
    write({table, key}, "", true);
}

bool store_stand_in::has(const std::string& table, const std::string& key) const
{
    const auto rows = tables_.find(table);
    if (rows == tables_.end())
        return false;
    const auto found = rows->second.find(key);
    return found != rows->second.end() && !found->second.removed;
}

void store_stand_in::restore(
    core::milliseconds age,
    const std::function<core::milliseconds(const std::string&, const std::string&)>& rewritten_after)
{
    const auto copied_at = std::chrono::steady_clock::now() - age;
    std::erase_if(past_writes_, [copied_at](const past_write& past) { return past.at > copied_at; });
    tables_.clear();
    version_ = 1;
    for (const auto& past : past_writes_) {
        tables_[past.name.first][past.name.second] = past.written;
        version_ = past.written.version;
    }
    history_begin_ = std::min(history_begin_, version_);
    ++era_;
    for (const auto& [name, owned] : owned_rows_) {
        const bool is_there = has(name.first, name.second);
        const bool is_lost =
            owned.removed ? is_there : !is_there || tables_[name.first][name.second].value != owned.value;
        if (is_lost)
            asio::co_spawn(executor_, write_again(name, rewritten_after(name.first, name.second)),
                           asio::detached);
    }
}

asio::awaitable<void> store_stand_in::write_again(row_name name, core::milliseconds after)
{
    const auto era = era_;
    asio::steady_timer pause(executor_, after);
    co_await pause.async_wait(net::as_result);
    const auto owned = owned_rows_.at(name);
    const bool is_current = has(name.first, name.second) != owned.removed &&
                            (owned.removed || tables_[name.first][name.second].value == owned.value);
    if (era == era_ && !is_current)
        write(name, owned.value, owned.removed);
}

void store_stand_in::set_fault(store_fault fault)
{
    fault_ = fault;
    if (fault == store_fault::forgets_history)
        history_begin_ = version_;
}

asio::awaitable<void> store_stand_in::accept()
{
    for (;;) {
        auto [error, socket] = co_await acceptor_.async_accept(net::as_result);
        if (error)
            co_return;
        asio::co_spawn(executor_, serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> store_stand_in::serve(net::tcp::socket socket)
{
    boost::beast::flat_buffer buffer;
    for (;;) {
        request call;
        const auto [error, bytes] = co_await http::async_read(socket, buffer, call, net::as_result);
        if (error)
            co_return;
        const auto result = co_await handle(call);
        if (!result)
            co_return; // the connection ends without an answer
        http::response<http::string_body> response(static_cast<http::status>(result->status), 11);
        response.set("Store-Era", std::to_string(era_));
        response.body() = result->body.dump();
        response.prepare_payload();
        answered_bytes_[test::query_parameter(std::string(call.target()), "tableName")] +=
            response.body().size();
        std::ostringstream text;
        text << response;
        if (!co_await write_answer(socket, text.str()))
            co_return;
    }
}

/** Writes an answer in parts, between which other connections get their share of the path. */
asio::awaitable<bool> store_stand_in::write_answer(net::tcp::socket& socket, const std::string& text)
{
    asio::steady_timer turn(executor_);
    for (std::size_t sent = 0; sent < text.size();) {
        const auto part = answer_rate_ == 0 ? text.size() : std::min(bytes_per_part, text.size() - sent);
        if (answer_rate_ > 0) {
            const std::chrono::duration<double> taken(static_cast<double>(part) /
                                                      static_cast<double>(answer_rate_));
            answers_sent_until_ = std::max(answers_sent_until_, std::chrono::steady_clock::now()) +
                                  std::chrono::duration_cast<std::chrono::steady_clock::duration>(taken);
            turn.expires_at(answers_sent_until_);
            co_await turn.async_wait(net::as_result);
        }
        const auto [error, written] =
            co_await asio::async_write(socket, asio::buffer(text.data() + sent, part), net::as_result);
        if (error)
            co_return false;
        sent += part;
    }
    co_return true;
}

std::size_t store_stand_in::answered_bytes(const std::string& table) const
{
    const auto found = answered_bytes_.find(table);
    return found == answered_bytes_.end() ? 0 : found->second;
}

/** @returns the answer, or nothing when the connection ends without one. */
asio::awaitable<std::optional<store_stand_in::answer>> store_stand_in::handle(const request& call)
{
    const std::string target(call.target());
    const auto fault = fault_;
    asio::steady_timer pause(executor_);
    if (fault == store_fault::refuses)
        co_return answer{503};
    if (fault == store_fault::silent || fault == store_fault::slow) {
        pause.expires_after(slow_answer);
        co_await pause.async_wait(net::as_result);
        while (fault_ == store_fault::silent) {
            pause.expires_after(poll_interval);
            co_await pause.async_wait(net::as_result);
        }
        if (fault == store_fault::silent)
            co_return std::nullopt;
    }
    answer result;
    if (target.starts_with("/rows-tx")) {
        if (fault == store_fault::writes_late) {
            asio::co_spawn(executor_, apply_later(json::parse(call.body())), asio::detached);
            co_return std::nullopt;
        }
        apply(json::parse(call.body()));
    }
    else if (target.starts_with("/rows-feed")) {
        result = co_await follow(test::query_parameter(target, "tableName"),
                                 number(test::query_parameter(target, "after")),
                                 core::milliseconds(number(test::query_parameter(target, "waitMs"))));
    }
    else {
        auto rows = rows_after(test::query_parameter(target, "tableName"), 0,
                               test::query_parameter(target, "from"), false);
        result.body["hasMore"] = rows.size() > rows_per_page;
        if (rows.size() > rows_per_page)
            rows.erase(rows.begin() + rows_per_page, rows.end());
        result.body["rows"] = std::move(rows);
    }
    result.body["ver"] = version_;
    if (fault == store_fault::loses_answers)
        co_return std::nullopt;
    co_return result;
}

asio::awaitable<store_stand_in::answer> store_stand_in::follow(const std::string& table, std::uint64_t after,
                                                               core::milliseconds wait)
{
    answer result;
    asio::steady_timer pause(executor_);
    for (core::milliseconds waited{0};; waited += poll_interval) {
        if (after < history_begin_ || after > version_) {
            result.status = 410;
            co_return result;
        }
        result.body["rows"] = rows_after(table, after, "", true);
        if (!result.body["rows"].empty() || waited >= wait)
            co_return result;
        pause.expires_after(poll_interval);
        co_await pause.async_wait(net::as_result);
    }
}

json store_stand_in::rows_after(const std::string& table, std::uint64_t version, const std::string& first_key,
                                bool with_removed) const
{
    auto rows = json::array();
    const auto found = tables_.find(table);
    if (found == tables_.end())
        return rows;
    for (const auto& [key, content] : found->second) {
        if (content.version <= version || key < first_key || (content.removed && !with_removed))
            continue;
        json entry{{"key", key}, {"ver", content.version}};
        if (content.removed)
            entry["removed"] = true;
        else
            entry["value"] = platform::encode_base64(content.value);
        rows.push_back(std::move(entry));
    }
    return rows;
}

void store_stand_in::apply(const json& transaction)
{
    for (const auto& entry : transaction.at("writes")) {
        const auto value = platform::decode_base64(entry.at("value").get<std::string>()).value();
        write({entry.at("tableName"), entry.at("key")}, value, false);
        if (on_write_)
            on_write_(entry.at("tableName"), entry.at("key"), value);
    }
    for (const auto& removal : transaction.at("remove")) {
        write({removal.at("tableName"), removal.at("key")}, "", true);
        if (on_write_)
            on_write_(removal.at("tableName"), removal.at("key"), std::nullopt);
    }
}

asio::awaitable<void> store_stand_in::apply_later(json transaction)
{
    asio::steady_timer pause(executor_, late_write);
    co_await pause.async_wait(net::as_result);
    apply(transaction);
}

} // namespace knapweed::soak
