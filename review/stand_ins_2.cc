#include "stand_ins_2.hh"

#include <algorithm>
#include <csignal>
#include <cstdarg>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace review {

namespace {

std::mt19937_64& generator()
{
    static std::mt19937_64 engine{std::random_device{}()};
    return engine;
}

std::string parameter(const std::string& target, const std::string& name)
{
    const auto begin = target.find('?');
    std::istringstream list(begin == std::string::npos ? "" : target.substr(begin + 1));
    for (std::string pair; std::getline(list, pair, '&');) {
        if (pair.rfind(name + "=", 0) != 0)
            continue;
        std::string text;
        for (std::size_t i = name.size() + 1; i < pair.size(); ++i) {
            if (pair[i] == '%' && i + 2 < pair.size()) {
                text += static_cast<char>(std::stoi(pair.substr(i + 1, 2), nullptr, 16));
                i += 2;
            }
            else {
                text += pair[i];
            }
        }
        return text;
    }
    return {};
}

std::uint64_t number(const std::string& text)
{
    return text.empty() ? 0 : std::stoull(text);
}

} // namespace

bool with_trouble()
{
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

record::record(const std::string& path) : file_(std::fopen(path.c_str(), "w")), start_(steady::now()) {}

record::~record()
{
    if (file_ != nullptr)
        std::fclose(file_);
}

double record::now_ms() const
{
    return std::chrono::duration<double, std::milli>(steady::now() - start_).count();
}

void record::write(const char* format, va_list arguments, bool also_out)
{
    char text[2048];
    std::vsnprintf(text, sizeof text, format, arguments);
    if (file_ != nullptr) {
        std::fprintf(file_, "%10.1f %s\n", now_ms(), text);
        std::fflush(file_);
    }
    if (also_out)
        std::printf("%10.1f %s\n", now_ms(), text);
}

void record::line(const char* format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    write(format, arguments, false);
    va_end(arguments);
}

void record::say(const char* format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    write(format, arguments, true);
    va_end(arguments);
}

std::uint16_t number_of(port which)
{
    constexpr std::uint16_t ports = 7;
    static const std::uint16_t first = [] {
        asio::io_context io;
        for (;;) {
            // Below the ports that the system gives to outgoing connections.
            const auto base = static_cast<std::uint16_t>(10000 + generator()() % 20000);
            bool free = true;
            for (std::uint16_t i = 0; free && i < ports; ++i) {
                boost::system::error_code error;
                tcp::acceptor held(io);
                held.open(tcp::v4(), error);
                held.bind({tcp::v4(), static_cast<std::uint16_t>(base + i)}, error);
                free = !error;
            }
            if (free)
                return base;
        }
    }();
    return static_cast<std::uint16_t>(first + static_cast<std::uint16_t>(which));
}

std::string with_port(const std::string& ip, port which)
{
    return ip + ":" + std::to_string(number_of(which));
}

addresses::addresses()
    : second_(16 + static_cast<int>(generator()() % 200)), third_(static_cast<int>(generator()() % 250))
{}

std::string addresses::machine(int number) const
{
    return "127." + std::to_string(second_) + "." + std::to_string(third_ + number / 250) + "." +
           std::to_string(1 + number % 250);
}

awaitable<void> pause(milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(as_result);
}

awaitable<void> pause_until(steady::time_point when)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, when);
    co_await timer.async_wait(as_result);
}

std::string random_hex(std::size_t digits)
{
    std::string text;
    while (text.size() < digits)
        text += "0123456789abcdef"[generator()() % 16];
    return text;
}

std::string base64(const std::string& bytes)
{
    static const char* const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned value = static_cast<unsigned char>(bytes[i]) << 16U;
        if (i + 1 < bytes.size())
            value |= static_cast<unsigned>(static_cast<unsigned char>(bytes[i + 1])) << 8U;
        if (i + 2 < bytes.size())
            value |= static_cast<unsigned char>(bytes[i + 2]);
        text += digits[value >> 18U];
        text += digits[(value >> 12U) & 63U];
        text += i + 1 < bytes.size() ? digits[(value >> 6U) & 63U] : '=';
        text += i + 2 < bytes.size() ? digits[value & 63U] : '=';
    }
    return text;
}

std::optional<std::string> from_base64(const std::string& text)
{
    std::string bytes;
    unsigned value = 0;
    int bits = 0;
    for (const char c : text) {
        int digit = -1;
        if (c >= 'A' && c <= 'Z')
            digit = c - 'A';
        else if (c >= 'a' && c <= 'z')
            digit = c - 'a' + 26;
        else if (c >= '0' && c <= '9')
            digit = c - '0' + 52;
        else if (c == '+')
            digit = 62;
        else if (c == '/')
            digit = 63;
        else if (c == '=')
            break;
        else
            return std::nullopt;
        value = value << 6U | static_cast<unsigned>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(value >> static_cast<unsigned>(bits) & 255U);
        }
    }
    return bytes;
}

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// --- the store

store::store(asio::io_context& io, record& log) : io_(io), log_(log) {}

std::string store::listen_at(const std::string& ip, milliseconds one_way)
{
    const std::string address = with_port(ip, port::store);
    auto& opened = entrances_[address];
    opened.ip = ip;
    opened.one_way = one_way;
    open(opened);
    return address;
}

void store::open(entrance& opened)
{
    opened.acceptor = std::make_shared<tcp::acceptor>(
        io_, tcp::endpoint(asio::ip::make_address(opened.ip), number_of(port::store)));
    asio::co_spawn(io_, accept(opened.acceptor, opened), asio::detached);
}

void store::cut(const std::string& address)
{
    auto& at = entrances_.at(address);
    boost::system::error_code ignored;
    if (at.acceptor)
        at.acceptor->close(ignored);
    at.acceptor.reset();
    for (const auto& weak : at.connections) {
        if (const auto socket = weak.lock()) {
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
    }
    at.connections.clear();
    log_.say("store: cut off from the machine that calls %s", address.c_str());
}

void store::heal(const std::string& address)
{
    auto& at = entrances_.at(address);
    if (!at.acceptor)
        open(at);
    log_.say("store: reached again by the machine that calls %s", address.c_str());
}

std::uint64_t store::put(const std::string& table, const std::string& key, const json& value)
{
    tables_[table][key] = {value.dump(), ++version_, false};
    log_.line("store: %s/%s = %s, version %llu", table.c_str(), key.c_str(),
              value.dump().substr(0, 200).c_str(), static_cast<unsigned long long>(version_));
    return version_;
}

std::uint64_t store::remove(const std::string& table, const std::string& key)
{
    tables_[table][key] = {"", ++version_, true};
    log_.line("store: %s/%s removed, version %llu", table.c_str(), key.c_str(),
              static_cast<unsigned long long>(version_));
    return version_;
}

awaitable<void> store::accept(std::shared_ptr<tcp::acceptor> acceptor, entrance& at)
{
    for (;;) {
        auto [error, socket] = co_await acceptor->async_accept(as_result);
        if (error)
            co_return;
        auto shared = std::make_shared<tcp::socket>(std::move(socket));
        std::erase_if(at.connections, [](const auto& weak) { return weak.expired(); });
        at.connections.push_back(shared);
        asio::co_spawn(io_, serve(std::move(shared), at), asio::detached);
    }
}

awaitable<void> store::serve(std::shared_ptr<tcp::socket> socket, const entrance& at)
{
    const std::string address = with_port(at.ip, port::store);
    beast::flat_buffer buffer;
    for (;;) {
        request call;
        const auto [error, bytes] = co_await http::async_read(*socket, buffer, call, as_result);
        if (error)
            co_return;
        co_await pause(at.one_way + answer_time);
        auto result = co_await answer(call, address);
        co_await pause(at.one_way);
        result.prepare_payload();
        const auto [write_error, written] = co_await http::async_write(*socket, result, as_result);
        if (write_error)
            co_return;
    }
}

json store::rows_after(const std::string& table, std::uint64_t version) const
{
    std::vector<std::pair<std::uint64_t, json>> found;
    if (const auto rows = tables_.find(table); rows != tables_.end()) {
        for (const auto& [key, row] : rows->second) {
            if (row.version <= version)
                continue;
            json entry{{"tableName", table}, {"part", ""}, {"key", key}, {"ver", row.version}};
            if (row.removed)
                entry["removed"] = true;
            else
                entry["value"] = base64(row.value);
            found.emplace_back(row.version, std::move(entry));
        }
    }
    std::sort(found.begin(), found.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    auto result = json::array();
    for (auto& [row_version, entry] : found)
        result.push_back(std::move(entry));
    return result;
}

awaitable<store::response> store::answer(const request& call, const std::string& called)
{
    const std::string target(call.target());
    response result(http::status::ok, 11);
    result.set(http::field::content_type, "application/json");
    json body = json::object();
    if (target.rfind("/rows-tx", 0) == 0) {
        const auto transaction = json::parse(call.body());
        auto current = json::array();
        for (const auto& condition : transaction.at("expectedRev")) {
            const auto& row = tables_[condition.at("tableName")][condition.at("key")];
            const auto has = row.removed || row.version == 0 ? 0 : row.version;
            if (has != condition.at("ver").get<std::uint64_t>())
                current.push_back({{"key", condition.at("key")}, {"ver", has}});
        }
        if (!current.empty()) {
            result.result(http::status::precondition_failed);
            body["rows"] = current;
        }
        else {
            ++version_;
            for (const auto& write : transaction.at("writes"))
                tables_[write.at("tableName")][write.at("key")] = {
                    from_base64(write.at("value")).value_or(""), version_, false};
            for (const auto& removal : transaction.at("remove"))
                tables_[removal.at("tableName")][removal.at("key")] = {"", version_, true};
        }
    }
    else if (target.rfind("/rows-feed", 0) == 0) {
        const auto table = parameter(target, "tableName");
        const auto after = number(parameter(target, "after"));
        const auto until = steady::now() + milliseconds(number(parameter(target, "waitMs")));
        if (number(parameter(target, "waitMs")) > 0)
            last_feed[called] = steady::now();
        auto rows = rows_after(table, after);
        while (rows.empty() && steady::now() < until) {
            co_await pause(milliseconds(3));
            rows = rows_after(table, after);
        }
        body["rows"] = rows;
    }
    else {
        // At most 500 rows of one moment, in the order of their keys.
        const auto table = parameter(target, "tableName");
        const auto from = parameter(target, "from");
        const auto limit = std::min<std::uint64_t>(
            number(parameter(target, "limit")) == 0 ? 500 : number(parameter(target, "limit")), 500);
        auto rows = json::array();
        bool more = false;
        for (const auto& [key, row] : tables_[table]) {
            if (key < from || row.removed)
                continue;
            if (rows.size() >= limit) {
                more = true;
                break;
            }
            rows.push_back({{"tableName", table},
                            {"part", ""},
                            {"key", key},
                            {"ver", row.version},
                            {"value", base64(row.value)}});
        }
        log_.line("store: list of %s from '%s' for %s: %zu rows, more %d, version %llu", table.c_str(),
                  from.c_str(), called.c_str(), rows.size(), more ? 1 : 0,
                  static_cast<unsigned long long>(version_));
        if (on_list)
            on_list(table, from, called, rows.size());
        body["rows"] = std::move(rows);
        body["hasMore"] = more;
    }
    body["ver"] = version_;
    body["nowMs"] = std::chrono::duration_cast<milliseconds>(steady::now() - start_).count();
    result.body() = body.dump();
    co_return result;
}

// --- a server

server::server(asio::io_context& io, store& of, record& log, std::vector<arrival>& arrivals,
               const std::string& ip, std::string id, server_settings settings)
    : io_(io), store_(of), log_(log), arrivals_(arrivals), ip_(ip), id_(std::move(id)),
      settings_(std::move(settings)),
      acceptor_(std::make_shared<tcp::acceptor>(
          io, tcp::endpoint(asio::ip::make_address(ip), number_of(port::servers))))
{
    asio::co_spawn(io_, accept(acceptor_), asio::detached);
}

double server::enter(const std::string& state)
{
    store_.put("servers", id_,
               {{"address", with_port(ip_, port::servers)},
                {"info",
                 {{"service", settings_.service},
                  {"version", "v1"},
                  {"zone", settings_.zone},
                  {"slots", settings_.slots}}},
                {"status", {{"state", state}, {"sequence", ++sequence_}, {"coldLeftMs", 0}}},
                {"born", born_}});
    return log_.now_ms();
}

double server::leave_table()
{
    store_.remove("servers", id_);
    return log_.now_ms();
}

void server::end()
{
    if (!acceptor_)
        return;
    log_.line("server %s ends, %u requests running", id_.c_str(), running_);
    lost_runs_ += running_;
    boost::system::error_code ignored;
    acceptor_->close(ignored);
    acceptor_.reset();
    for (const auto& weak : connections_) {
        if (const auto socket = weak.lock()) {
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
    }
    connections_.clear();
}

awaitable<void> server::accept(std::shared_ptr<tcp::acceptor> acceptor)
{
    for (;;) {
        auto [error, socket] = co_await acceptor->async_accept(as_result);
        if (error)
            co_return;
        socket.set_option(tcp::no_delay(true));
        auto shared = std::make_shared<tcp::socket>(std::move(socket));
        std::erase_if(connections_, [](const auto& weak) { return weak.expired(); });
        connections_.push_back(shared);
        asio::co_spawn(io_, serve(std::move(shared)), asio::detached);
    }
}

awaitable<void> server::serve(std::shared_ptr<tcp::socket> socket)
{
    beast::flat_buffer buffer;
    for (;;) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(boost::none);
        const auto [error, bytes] = co_await http::async_read(*socket, buffer, parser, as_result);
        if (error || !is_up())
            co_return;
        const auto call = parser.release();
        const std::string id(call["Request-Id"]);
        arrival got{log_.now_ms(), id, id_, std::string(call.target()), false};
        http::response<http::string_body> answer(http::status::ok, 11);
        answer.set("Server-Load", std::to_string(running_) + "," + std::to_string(waiting_) + "," +
                                      std::to_string(settings_.slots));
        if (!id.empty())
            answer.set("Request-Id", id);
        if (call.target() == "/health") {
            answer.set("Instance-Id", id_);
        }
        else if (!call["Target-Instance"].empty() && call["Target-Instance"] != id_) {
            answer.result(http::status::misdirected_request);
            answer.set("Instance-Id", id_);
            log_.line("server %s: request %s is for %s: 421", id_.c_str(), id.c_str(),
                      std::string(call["Target-Instance"]).c_str());
        }
        else if (running_ >= settings_.slots && waiting_ >= settings_.queue) {
            answer.result(http::status::service_unavailable);
            answer.set("Not-Executed", "1");
            arrivals_.push_back(got);
        }
        else {
            ++waiting_;
            while (running_ >= settings_.slots && is_up())
                co_await pause(milliseconds(2));
            --waiting_;
            if (!is_up())
                co_return;
            ++running_;
            got.run = true;
            arrivals_.push_back(got);
            log_.line("server %s runs %s %s", id_.c_str(), id.c_str(), got.path.c_str());
            co_await pause(settings_.work);
            --running_;
            if (!is_up())
                co_return;
            answer.set("Server-Seal", "seal-" + id_ + "-" + id);
            answer.body() = "body of " + id + " ";
            answer.body().resize(std::max(answer.body().size(), settings_.answer_bytes), 'x');
        }
        answer.prepare_payload();
        if (got.run && broken_share_ > 0 &&
            std::uniform_real_distribution<double>()(generator()) < broken_share_) {
            log_.line("server %s breaks the answer to %s off", id_.c_str(), id.c_str());
            std::ostringstream text;
            text << answer;
            const auto part = text.str().substr(0, text.str().size() - answer.body().size() / 5);
            (void)co_await asio::async_write(*socket, asio::buffer(part), as_result);
            co_return;
        }
        const auto [write_error, written] = co_await http::async_write(*socket, answer, as_result);
        if (write_error)
            co_return;
    }
}

// --- a gateway

gateway_process::gateway_process(gateway_place place, std::string folder, record& log)
    : place_(std::move(place)), folder_(std::move(folder)), log_(log)
{}

gateway_process::~gateway_process()
{
    if (pid_ > 0) {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
}

bool gateway_process::start()
{
    const auto file = folder_ + "/" + place_.name + ".ini";
    {
        std::ofstream out(file);
        out << "[instance]\nname = " << place_.name << "\ndata_centre = " << place_.zone
            << "\nregion = " << place_.region << "\ncpu_share = " << place_.cpu_share
            << "\ncore_speed = 1\nmax_descriptors = 4100\n\n[listen]\ncallers = "
            << with_port(place_.ip, port::callers)
            << "\nreadiness = " << with_port(place_.ip, port::readiness)
            << "\nlookups = " << with_port(place_.ip, port::lookups)
            << "\npeers = " << with_port(place_.ip, port::peers)
            << "\nmetrics = " << with_port(place_.ip, port::metrics)
            << "\n\n[platform]\nstore = " << place_.store << "\n\n[timing]\ngrace_s = " << place_.grace_s
            << "\n; read by builds that don't know grace_s\ngrace_ms = " << place_.grace_s
            << "000\n\n[steering]\nlargest_shift = 0.15\ncold_multiplier = 1.5\ncold_slack = 5\nretry_ratio "
               "= 0.2\n"
            << "retry_extra = 60\n\n[data_centres]\n";
        for (const auto& [zone, region] : place_.zones)
            out << zone << " = " << region << "\n";
    }
    const auto output = folder_ + "/" + place_.name + ".log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const auto variable = "KNAPWEEDPICK_NODE_FILE=" + file;
    std::vector<std::string> texts{variable};
    for (char** entry = environ; *entry != nullptr; ++entry) {
        const std::string text = *entry;
        if (text.rfind("PATH=", 0) == 0 || text.rfind("HOME=", 0) == 0 || text.rfind("LANG=", 0) == 0)
            texts.push_back(text);
    }
    std::vector<char*> environment;
    for (auto& text : texts)
        environment.push_back(text.data());
    environment.push_back(nullptr);
    std::string program = "target/knapweed-gateway";
    char* arguments[] = {program.data(), nullptr};
    const int failed =
        ::posix_spawn(&pid_, program.c_str(), &actions, nullptr, arguments, environment.data());
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0)
        pid_ = 0;
    started_ms_ = log_.now_ms();
    log_.say("machine %s (%s): start, process %d", place_.name.c_str(), place_.ip.c_str(), pid_);
    return failed == 0;
}

void gateway_process::signal(int number)
{
    if (pid_ <= 0)
        return;
    log_.say("machine %s: signal %d", place_.name.c_str(), number);
    ::kill(pid_, number);
}

std::optional<int> gateway_process::ended()
{
    int status = 0;
    if (pid_ <= 0)
        return 0;
    if (::waitpid(pid_, &status, WNOHANG) != pid_)
        return std::nullopt;
    pid_ = 0;
    log_.say("machine %s: process ended, wait status %d", place_.name.c_str(), status);
    return status;
}

bool gateway_process::runs()
{
    return pid_ > 0 && !ended();
}

// --- a client

std::string to_text(const question& asked)
{
    std::string text = asked.method + " " + asked.path + " HTTP/1.1\r\nHost: " + asked.host +
                       "\r\nRequest-Id: " + asked.id +
                       "\r\nDeadline-Remaining: " + std::to_string(asked.deadline_ms) + "\r\n";
    if (!asked.body.empty() || asked.method == "POST")
        text += "Content-Length: " + std::to_string(asked.body.size()) + "\r\n";
    return text + "\r\n" + asked.body;
}

client::client(asio::io_context& io, const std::string& address) : io_(io), socket_(io)
{
    const auto colon = address.rfind(':');
    remote_ = {asio::ip::make_address(address.substr(0, colon)),
               static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

awaitable<bool> client::connect(milliseconds limit)
{
    asio::steady_timer timer(io_, limit);
    timer.async_wait([this](boost::system::error_code error) {
        boost::system::error_code ignored;
        if (!error)
            socket_.close(ignored);
    });
    const auto [error] = co_await socket_.async_connect(remote_, as_result);
    timer.cancel();
    open_ = !error;
    if (open_)
        socket_.set_option(tcp::no_delay(true));
    co_return open_;
}

awaitable<reply> client::ask(question asked, record& log)
{
    reply result;
    result.connected = open_;
    result.id = asked.id;
    result.sent_ms = log.now_ms();
    if (!open_)
        co_return result;
    const auto text = to_text(asked);
    log.line("client sends %s %s %s", asked.method.c_str(), asked.path.c_str(), asked.id.c_str());
    asio::steady_timer timer(io_, milliseconds(asked.deadline_ms + 2000));
    timer.async_wait([this](boost::system::error_code error) {
        boost::system::error_code ignored;
        if (!error)
            socket_.close(ignored);
    });
    const auto [write_error, written] = co_await asio::async_write(socket_, asio::buffer(text), as_result);
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    if (!write_error) {
        const auto [error, bytes] = co_await http::async_read(socket_, buffer_, parser, as_result);
        result.whole = !error;
        if (parser.is_header_done()) {
            const auto& got = parser.get();
            result.status = got.result_int();
            result.seal = std::string(got["Server-Seal"]);
            result.reason = std::string(got["Knapweed-Reason"]);
            result.body = got.body();
            result.closes = !got.keep_alive();
        }
    }
    timer.cancel();
    result.ended_ms = log.now_ms();
    if (!result.whole || result.closes)
        close();
    log.line("client gets %u %s for %s after %.0f ms%s", result.status, result.reason.c_str(),
             asked.id.c_str(), result.ended_ms - result.sent_ms, result.whole ? "" : ", not whole");
    co_return result;
}

void client::close()
{
    boost::system::error_code ignored;
    socket_.close(ignored);
    open_ = false;
}

awaitable<unsigned> readiness(asio::io_context& io, std::string ip)
{
    tcp::socket socket(io);
    asio::steady_timer timer(io, milliseconds(800));
    timer.async_wait([&socket](boost::system::error_code error) {
        boost::system::error_code ignored;
        if (!error)
            socket.close(ignored);
    });
    const auto [error] =
        co_await socket.async_connect({asio::ip::make_address(ip), number_of(port::readiness)}, as_result);
    if (error) {
        timer.cancel();
        co_return 0;
    }
    const std::string text = "GET /ready HTTP/1.1\r\nHost: " + ip + "\r\nConnection: close\r\n\r\n";
    (void)co_await asio::async_write(socket, asio::buffer(text), as_result);
    beast::flat_buffer buffer;
    http::response<http::string_body> answer;
    const auto [read_error, bytes] = co_await http::async_read(socket, buffer, answer, as_result);
    timer.cancel();
    co_return read_error ? 0 : answer.result_int();
}

awaitable<bool> wait_ready(asio::io_context& io, std::vector<std::string> ips, milliseconds limit)
{
    const auto until = steady::now() + limit;
    for (const auto& ip : ips) {
        while (co_await readiness(io, ip) != 200) {
            if (steady::now() >= until)
                co_return false;
            co_await pause(milliseconds(50));
        }
    }
    co_return true;
}

json make_configuration(const std::string& version, const std::vector<route_entry>& routes,
                        const std::vector<std::string>& services, int idle_ms)
{
    json document{{"version", version}, {"routes", json::object()}, {"services", json::object()}};
    for (const auto& route : routes)
        document["routes"][route.name] = {{"host", route.host},
                                          {"prefix", route.prefix},
                                          {"kind", route.kind},
                                          {"timeoutMs", route.timeout_ms},
                                          {"targetLatencyMs", route.target_ms},
                                          {"priority", route.priority},
                                          {"service", route.service},
                                          {"maxAttempts", route.attempts},
                                          {"sticky", false},
                                          {"allowedRegions", json::array()}};
    for (const auto& service : services)
        document["services"][service] = {{"healthPath", "/health"}, {"maxConns", 360},
                                         {"protocol", "h1"},        {"tls", false},
                                         {"coldStartS", 3.0},       {"coldPerS", 9.7}};
    document["limits"] = {{"maxHeaderBytes", 16384},
                          {"maxBodyBytes", 67108864},
                          {"headerTimeoutMs", 3000},
                          {"idleTimeoutMs", idle_ms}};
    return document;
}

int play(const std::function<awaitable<int>(asio::io_context&, record&)>& run, const std::string& folder,
         milliseconds limit)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (::access("target/knapweed-gateway", X_OK) != 0) {
        std::fprintf(stderr, "target/knapweed-gateway is missing: run the build of the deploy file first\n");
        return could_not_run;
    }
    record log(folder + "/record.txt");
    int result = could_not_run;
    asio::io_context io;
    asio::co_spawn(io, run(io, log), [&io, &result, &log](const std::exception_ptr& error, int value) {
        result = error ? could_not_run : value;
        if (error) {
            try {
                std::rethrow_exception(error);
            }
            catch (const std::exception& exception) {
                log.say("the case could not run: %s", exception.what());
            }
        }
        io.stop();
    });
    asio::steady_timer timer(io, limit);
    timer.async_wait([&io, &log](boost::system::error_code error) {
        if (!error) {
            log.say("the case did not end in time");
            io.stop();
        }
    });
    io.run();
    log.say("%s", result == held     ? "the rule held"
                  : result == broken ? "THE RULE WAS BROKEN"
                                     : "the case could not run");
    return result;
}

} // namespace review
