#include "store_fake.h"

#include "platform/base64.h"
#include "query_parameter.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

namespace knapweed::test {

namespace {

constexpr std::size_t page_rows = 3; // small, so that a list takes several pages

} // namespace

store_fake::store_fake() : server_([this](const std::string& request) { return answer(request); }) {}

void store_fake::put(const std::string& name, const std::string& key, const std::string& value)
{
    const std::lock_guard lock(mutex_);
    tables_[name][key] = {value, ++version_, false};
}

void store_fake::put_undecoded(const std::string& name, const std::string& key, const std::string& text)
{
    const std::lock_guard lock(mutex_);
    tables_[name][key] = {text, ++version_, false, true};
}

void store_fake::remove(const std::string& name, const std::string& key)
{
    const std::lock_guard lock(mutex_);
    tables_[name][key] = {"", ++version_, true};
}

void store_fake::set_fault(fault new_fault)
{
    const std::lock_guard lock(mutex_);
    fault_ = new_fault;
}

void store_fake::silence_open_connections()
{
    const std::lock_guard lock(mutex_);
    silenced_before_ = connections_.size();
}

bool store_fake::is_silenced_connection()
{
    const auto number =
        connections_.try_emplace(std::this_thread::get_id(), connections_.size()).first->second;
    return number < silenced_before_;
}

void store_fake::set_rate(std::size_t bytes_per_second)
{
    const std::lock_guard lock(mutex_);
    bytes_per_second_ = bytes_per_second;
}

store_fake::table_copy store_fake::copy() const
{
    const std::lock_guard lock(mutex_);
    return {tables_, version_};
}

void store_fake::restore(const table_copy& older)
{
    const std::lock_guard lock(mutex_);
    tables_ = older.tables;
    version_ = older.version;
    ++era_;
}

void store_fake::before_page(const std::string& name, const std::string& from, std::function<void()> action)
{
    const std::lock_guard lock(mutex_);
    before_page_ = {name, from, std::move(action)};
}

void store_fake::run_page_action(const std::string& target)
{
    std::function<void()> action;
    {
        const std::lock_guard lock(mutex_);
        if (query_parameter(target, "tableName") == before_page_.table &&
            query_parameter(target, "from") == before_page_.from)
            action = std::exchange(before_page_.run, {});
    }
    if (action)
        action(); // it writes rows, without the lock
}

void store_fake::forget_history()
{
    const std::lock_guard lock(mutex_);
    history_start_ = ++version_;
}

std::uint64_t store_fake::version() const
{
    const std::lock_guard lock(mutex_);
    return version_;
}

std::string store_fake::make_answer(const std::string& status, const std::string& body) const
{
    return make_reply(status, "Store-Era: " + std::to_string(era_) + "\r\n", body);
}

scripted_reply store_fake::reply_with(const std::string& body) const
{
    scripted_reply reply{make_answer("200 OK", body)};
    reply.bytes_per_second = bytes_per_second_;
    return reply;
}

bool store_fake::has(const std::string& name, const std::string& key) const
{
    const std::lock_guard lock(mutex_);
    const auto found = tables_.find(name);
    return found != tables_.end() && found->second.contains(key) && !found->second.at(key).removed;
}

std::string store_fake::describe(const std::string& name, const std::string& key, const row& content) const
{
    nlohmann::json described{{"tableName", name}, {"part", ""}, {"key", key}, {"ver", content.version}};
    if (content.removed)
        described["removed"] = true;
    else
        described["value"] = content.undecoded ? content.value : platform::encode_base64(content.value);
    return described.dump();
}

std::string store_fake::list(const std::string& target) const
{
    const auto name = query_parameter(target, "tableName");
    const auto from = query_parameter(target, "from");
    std::string rows;
    std::size_t count = 0;
    bool more = false;
    if (const auto found = tables_.find(name); found != tables_.end()) {
        for (const auto& [key, entry] : found->second) {
            if (entry.removed || key < from)
                continue;
            if (count++ == page_rows) {
                more = true;
                break;
            }
            rows += (rows.empty() ? "" : ",") + describe(name, key, entry);
        }
    }
    return "{\"rows\":[" + rows + "],\"hasMore\":" + (more ? "true" : "false") +
           ",\"ver\":" + std::to_string(version_) + ",\"nowMs\":1}";
}

std::string store_fake::feed(const std::string& target)
{
    const auto name = query_parameter(target, "tableName");
    const auto after = std::stoull(query_parameter(target, "after"));
    std::map<std::uint64_t, std::string> changes;
    for (const auto& [key, entry] : tables_[name]) {
        if (entry.version > after)
            changes[entry.version] = describe(name, key, entry);
    }
    std::string rows;
    for (const auto& [version, text] : changes)
        rows += (rows.empty() ? "" : ",") + text;
    return "{\"rows\":[" + rows + "],\"ver\":" + std::to_string(version_) + ",\"nowMs\":1}";
}

void store_fake::write(const std::string& request)
{
    const auto body = nlohmann::json::parse(request.substr(request.find("\r\n\r\n") + 4));
    for (const auto& entry : body.at("writes")) {
        tables_[entry.at("tableName")][entry.at("key")] = {
            platform::decode_base64(entry.at("value").get<std::string>()).value(), ++version_, false};
    }
    for (const auto& entry : body.at("remove"))
        tables_[entry.at("tableName")][entry.at("key")] = {"", ++version_, true};
}

scripted_reply store_fake::answer(const std::string& request)
{
    const auto begin = request.find(' ') + 1;
    const auto target = request.substr(begin, request.find(" HTTP/1.1\r\n") - begin);
    if (target.find_first_of(" #") != std::string::npos)
        return {make_answer("400 Bad Request", "")};
    const bool is_feed = target.find("/rows-feed") != std::string::npos;
    if (target.find("/rows-get") != std::string::npos)
        run_page_action(target);
    for (int rounds = 0;; ++rounds) {
        {
            const std::lock_guard lock(mutex_);
            if (fault_ == fault::refuse)
                return {make_answer("503 Busy", "")};
            if (fault_ == fault::silent || is_silenced_connection())
                return {"", false, true};
            if (fault_ == fault::garbage)
                return {make_answer("200 OK", "{\"rows\":5}")};
            if (is_feed && fault_ == fault::lose_history)
                return {make_answer("410 Gone", "{}")};
            if (target.find("/rows-tx") != std::string::npos) {
                write(request);
                return {make_answer("200 OK", "{\"ver\":" + std::to_string(version_) + ",\"nowMs\":1}")};
            }
            if (!is_feed)
                return reply_with(list(target));
            const auto after = std::stoull(query_parameter(target, "after"));
            if (after > version_ || after < history_start_)
                return {make_answer("410 Gone", "{}")};
            auto changes = feed(target);
            if (changes.find("\"rows\":[]") == std::string::npos || rounds == 20)
                return reply_with(changes);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
}

} // namespace knapweed::test
