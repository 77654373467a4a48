#include "stand_ins.hh"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <memory>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <random>
#include <set>
#include <spawn.h>
#include <sstream>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char** environ;

namespace review {

using nlohmann::json;

namespace {

const auto case_began = clock::now();
constexpr milliseconds poll_interval{5};
constexpr std::size_t rows_per_page = 500; ///< of a list, as the platform limits it

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

sockaddr_in parse(const std::string& address)
{
    sockaddr_in result{};
    const auto colon = address.rfind(':');
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

std::string name_of(int descriptor)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

int milliseconds_until(clock::time_point limit)
{
    if (limit == clock::time_point::max())
        return -1;
    const auto left = std::chrono::ceil<milliseconds>(limit - clock::now());
    return static_cast<int>(std::max<milliseconds::rep>(left.count(), 0));
}

std::mutex started_mutex;
std::set<int> started_processes; ///< that have not been waited for

constexpr const char* base64_digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encode_base64(const std::string& bytes)
{
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = group << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j <= bytes.size() ? base64_digits[group >> (18 - 6 * j) & 63U] : '=';
    }
    return text;
}

std::string parameter(const std::string& target, const std::string& name)
{
    auto begin = target.find('?');
    while (begin != std::string::npos) {
        const auto end = target.find('&', begin + 1);
        const auto pair = target.substr(begin + 1, end == std::string::npos ? end : end - begin - 1);
        if (pair.starts_with(name + "="))
            return pair.substr(name.size() + 1);
        begin = end;
    }
    return {};
}

std::string json_answer(int status, const json& body)
{
    const auto text = body.dump();
    return "HTTP/1.1 " + std::to_string(status) +
           " Answer\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) +
           "\r\n\r\n" + text;
}

} // namespace

void finish(int status)
{
    const std::lock_guard lock(started_mutex);
    for (const int process : started_processes) {
        ::kill(process, SIGKILL);
        ::waitpid(process, nullptr, 0);
    }
    std::fflush(stdout);
    std::_Exit(status);
}

double now_ms()
{
    return std::chrono::duration<double, std::milli>(clock::now() - case_began).count();
}

void recorder::add(const std::string& event, const std::string& fields)
{
    const std::lock_guard lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof time, "%10.1f ", now_ms());
    out_ << time << event << ' ' << fields << std::endl;
}

std::string http_message::field(const std::string& name) const
{
    for (const auto& [field_name, value] : fields) {
        if (field_name == name)
            return value;
    }
    return {};
}

std::string http_message::method() const
{
    return first_line.substr(0, first_line.find(' '));
}

std::string http_message::target() const
{
    const auto begin = first_line.find(' ') + 1;
    return first_line.substr(begin, first_line.find(' ', begin) - begin);
}

int http_message::status() const
{
    return std::atoi(first_line.substr(first_line.find(' ') + 1).c_str());
}

std::unique_ptr<connection> connection::open(const std::string& address, milliseconds limit)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto result = std::make_unique<connection>(descriptor);
    const auto remote = parse(address);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&remote), sizeof remote) != 0) {
        pollfd event{descriptor, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS || ::poll(&event, 1, static_cast<int>(limit.count())) != 1 ||
            ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
            return nullptr;
    }
    ::fcntl(descriptor, F_SETFL, 0);
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return result;
}

bool connection::send(const std::string& text)
{
    for (std::size_t sent = 0; sent < text.size();) {
        const auto written = ::send(descriptor_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (written <= 0)
            return false;
        sent += static_cast<std::size_t>(written);
    }
    return true;
}

bool connection::receive(clock::time_point limit)
{
    pollfd event{descriptor_, POLLIN, 0};
    if (::poll(&event, 1, milliseconds_until(limit)) != 1)
        return false;
    char buffer[65536];
    const auto bytes = ::recv(descriptor_, buffer, sizeof buffer, 0);
    if (bytes <= 0) {
        ended_ = true;
        return false;
    }
    received_.append(buffer, static_cast<std::size_t>(bytes));
    return true;
}

std::optional<http_message> connection::read(clock::time_point limit)
{
    std::size_t head_end = 0;
    while ((head_end = received_.find("\r\n\r\n")) == std::string::npos) {
        if (!receive(limit))
            return std::nullopt;
    }
    http_message message;
    std::istringstream head(received_.substr(0, head_end + 2));
    std::getline(head, message.first_line);
    message.first_line.pop_back();
    for (std::string line; std::getline(head, line) && line != "\r";) {
        line.pop_back();
        const auto colon = line.find(':');
        message.fields.emplace_back(lower(line.substr(0, colon)),
                                    line.substr(line.find_first_not_of(' ', colon + 1)));
    }
    received_.erase(0, head_end + 4);
    const auto length_field = message.field("content-length");
    const std::size_t length = length_field.empty() ? 0 : std::stoull(length_field);
    while (received_.size() < length) {
        if (!receive(limit))
            return std::nullopt;
    }
    message.body = received_.substr(0, length);
    received_.erase(0, length);
    return message;
}

bool connection::readable_within(milliseconds time)
{
    pollfd event{descriptor_, POLLIN, 0};
    return !received_.empty() || ::poll(&event, 1, static_cast<int>(time.count())) == 1;
}

bool connection::closed_within(milliseconds time)
{
    pollfd event{descriptor_, POLLRDHUP, 0};
    return ::poll(&event, 1, static_cast<int>(time.count())) == 1;
}

void connection::shut_down()
{
    ::shutdown(descriptor_, SHUT_RDWR);
}

void connection::close()
{
    if (descriptor_ >= 0)
        ::close(std::exchange(descriptor_, -1));
}

struct listener::state {
    int descriptor = -1;
    std::atomic<bool> stopped = false;
    std::function<void(connection&)> serve;
    std::thread acceptor;
};

listener::listener(std::function<void(connection&)> serve) : state_(std::make_shared<state>())
{
    state_->serve = std::move(serve);
    state_->descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto any_port = parse("127.0.0.1:0");
    if (::bind(state_->descriptor, reinterpret_cast<const sockaddr*>(&any_port), sizeof any_port) != 0 ||
        ::listen(state_->descriptor, 1024) != 0) {
        std::perror("listen");
        finish(exit_not_run);
    }
    address_ = name_of(state_->descriptor);
    state_->acceptor = std::thread([state = state_.get()] {
        while (!state->stopped) {
            pollfd event{state->descriptor, POLLIN, 0};
            if (::poll(&event, 1, 200) != 1)
                continue;
            const int accepted = ::accept4(state->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                continue;
            const int on = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            // The threads of connections live until the process ends, which is by `finish`.
            std::thread([state, accepted] {
                connection caller(accepted);
                state->serve(caller);
            }).detach();
        }
    });
}

listener::~listener()
{
    state_->stopped = true;
    state_->acceptor.join();
    ::close(state_->descriptor);
}

std::string free_address()
{
    // Below the ports that the system gives to outgoing connections, which could take one before it is used.
    static std::mt19937 random(std::random_device{}());
    std::uniform_int_distribution<int> ports(10000, 32000);
    for (;;) {
        const int port = ports(random);
        const int holder = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = parse("127.0.0.1:" + std::to_string(port));
        if (::bind(holder, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
            // The port stays taken until the case ends. The option is set after the bind, which so fails if
            // anybody else has the port; the gateway, which sets it as well, can listen there.
            const int on = 1;
            ::setsockopt(holder, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
            return "127.0.0.1:" + std::to_string(port);
        }
        ::close(holder);
    }
}

store::store() : listener_([this](connection& caller) { serve(caller); }) {}

void store::put(const std::string& table, const std::string& key, const std::string& value)
{
    put_text(table, key, encode_base64(value));
}

void store::put_text(const std::string& table, const std::string& key, const std::string& value)
{
    const std::lock_guard lock(mutex_);
    tables_[table][key] = {value, ++version_, false};
}

void store::serve(connection& caller)
{
    while (const auto call = caller.read()) {
        if (!caller.send(handle(*call)))
            return;
    }
}

/** @returns the rows as JSON; the lock must be held. */
std::string store::rows_after(const std::string& table, std::uint64_t version, const std::string& from,
                              bool with_removed)
{
    auto rows = json::array();
    bool has_more = false;
    for (const auto& [key, content] : tables_[table]) {
        if (content.version <= version || key < from || (content.removed && !with_removed))
            continue;
        has_more = !with_removed && rows.size() == rows_per_page;
        if (has_more)
            break;
        json entry{{"tableName", table}, {"part", ""}, {"key", key}, {"ver", content.version}};
        if (content.removed)
            entry["removed"] = true;
        else
            entry["value"] = content.value;
        rows.push_back(std::move(entry));
    }
    return json{
        {"rows", rows}, {"ver", version_}, {"hasMore", has_more}, {"nowMs", static_cast<long>(now_ms())}}
        .dump();
}

std::string store::handle(const http_message& call)
{
    // A request line with more than three parts is malformed.
    if (std::count(call.first_line.begin(), call.first_line.end(), ' ') != 2)
        return json_answer(400, json::object());
    const auto target = call.target();
    const auto table = parameter(target, "tableName");
    if (target.starts_with("/rows-get")) {
        const std::lock_guard lock(mutex_);
        return json_answer(200, json::parse(rows_after(table, 0, parameter(target, "from"), false)));
    }
    if (target.starts_with("/rows-feed")) {
        const auto after = std::stoull(parameter(target, "after"));
        const auto limit = clock::now() + milliseconds(std::stoi(parameter(target, "waitMs")));
        for (;;) {
            {
                const std::lock_guard lock(mutex_);
                auto rows = json::parse(rows_after(table, after, "", true));
                if (!rows["rows"].empty() || clock::now() >= limit)
                    return json_answer(200, rows);
            }
            std::this_thread::sleep_for(poll_interval);
        }
    }
    if (target.starts_with("/rows-tx")) {
        const auto transaction = json::parse(call.body);
        const std::lock_guard lock(mutex_);
        ++version_;
        for (const auto& write : transaction.at("writes"))
            tables_[write.at("tableName")][write.at("key")] = {write.at("value"), version_, false};
        for (const auto& removal : transaction.at("remove"))
            tables_[removal.at("tableName")][removal.at("key")] = {"", version_, true};
        return json_answer(200, {{"ver", version_}, {"nowMs", static_cast<long>(now_ms())}});
    }
    return json_answer(404, json::object());
}

void run_table::add(const std::string& request, const run_record& run)
{
    const std::lock_guard lock(mutex_);
    runs_[request].push_back(run);
}

void run_table::update(const std::string& request, const std::string& server,
                       const std::function<void(run_record&)>& change)
{
    const std::lock_guard lock(mutex_);
    for (auto& run : runs_[request]) {
        if (run.server == server)
            change(run);
    }
}

std::vector<run_record> run_table::of(const std::string& request) const
{
    const std::lock_guard lock(mutex_);
    const auto found = runs_.find(request);
    return found == runs_.end() ? std::vector<run_record>{} : found->second;
}

std::string answer_body(const std::string& request, std::size_t bytes)
{
    std::string body;
    while (body.size() < bytes)
        body += "answer to " + request + ";";
    body.resize(bytes);
    return body;
}

backend::backend(server_options options, run_table& runs, recorder& record)
    : options_(std::move(options)), runs_(runs), record_(record),
      listener_([this](connection& caller) { serve(caller); })
{}

std::string backend::row(bool draining) const
{
    return json{{"address", listener_.address()},
                {"born", 1},
                {"info",
                 {{"service", options_.service},
                  {"zone", options_.data_centre},
                  {"version", "1"},
                  {"slots", options_.slots}}},
                {"status", {{"state", draining ? "draining" : "ready"}, {"sequence", 1}, {"coldLeftMs", 0}}}}
        .dump();
}

void backend::serve(connection& caller)
{
    while (const auto request = caller.read()) {
        const auto id = request->field("request-id");
        if (request->field("target-instance") != options_.id) {
            if (!caller.send("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + options_.id +
                             "\r\nRequest-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"))
                return;
            continue;
        }
        bool full = false;
        {
            const std::lock_guard lock(mutex_);
            full = running_ >= options_.slots && waiting_ >= options_.queue;
            if (!full)
                ++waiting_;
        }
        if (full) {
            record_.add("shed", "request=" + id + " server=" + options_.id);
            if (!caller.send("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: " + id +
                             "\r\nContent-Length: 0\r\n\r\n"))
                return;
            continue;
        }
        run_record run{options_.id, now_ms(), std::nullopt, false, false, true};
        runs_.add(id, run);
        record_.add("arrived", "request=" + id + " server=" + options_.id);
        answer(caller, *request, run);
        runs_.update(id, options_.id, [&run](run_record& known) { known = run; });
        record_.add(run.dropped ? "dropped" : "ran",
                    "request=" + id + " server=" + options_.id +
                        " took_ms=" + std::to_string(*run.ended_ms - run.began_ms));
        if (!run.answered || !run.sound)
            return;
    }
}

void backend::answer(connection& caller, const http_message& request, run_record& run)
{
    const auto id = request.field("request-id");
    bool has_slot = false;
    while (!has_slot && !run.dropped) {
        {
            const std::lock_guard lock(mutex_);
            has_slot = running_ < options_.slots;
            if (has_slot) {
                ++running_;
                --waiting_;
            }
        }
        if (!has_slot)
            run.dropped = caller.closed_within(poll_interval);
    }
    if (has_slot)
        run.dropped = caller.closed_within(options_.work_time(request));
    std::string load;
    {
        const std::lock_guard lock(mutex_);
        has_slot ? --running_ : --waiting_;
        load =
            std::to_string(running_) + "," + std::to_string(waiting_) + "," + std::to_string(options_.slots);
    }
    run.ended_ms = now_ms();
    if (run.dropped)
        return;
    const auto body = answer_body(id, options_.answer_bytes);
    run.sound = !options_.breaks_off(request);
    run.answered =
        caller.send("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Seal: seal." + id +
                    "\r\nServer-Load: " + load + "\r\nContent-Length: " + std::to_string(body.size()) +
                    "\r\n\r\n" + (run.sound ? body : body.substr(0, body.size() * 3 / 4)));
    if (!run.sound)
        caller.shut_down();
}

namespace {

/** Passes bytes of one direction on. */
void pass_on(connection& from, connection& to, milliseconds one_way)
{
    struct part {
        clock::time_point due;
        std::string bytes;
    };
    std::deque<part> parts;
    bool open = true;
    while (open || !parts.empty()) {
        if (open) {
            pollfd event{from.descriptor(), POLLIN, 0};
            const int wait = parts.empty() ? 100 : milliseconds_until(parts.front().due);
            if (::poll(&event, 1, wait) == 1) {
                std::string bytes(65536, '\0');
                const auto received = ::recv(from.descriptor(), bytes.data(), bytes.size(), 0);
                open = received > 0;
                bytes.resize(static_cast<std::size_t>(std::max<ssize_t>(received, 0)));
                parts.push_back(
                    {clock::now() + one_way, std::move(bytes)}); // an empty one stands for the end
            }
        }
        else {
            std::this_thread::sleep_until(parts.front().due);
        }
        while (!parts.empty() && parts.front().due <= clock::now()) {
            if (parts.front().bytes.empty())
                ::shutdown(to.descriptor(), SHUT_WR);
            else if (!to.send(parts.front().bytes))
                from.shut_down();
            parts.pop_front();
        }
    }
}

} // namespace

delay_proxy::delay_proxy(std::string target, milliseconds one_way)
    : target_(std::move(target)), one_way_(one_way), listener_([this](connection& caller) {
          const auto callee = connection::open(target_);
          if (!callee)
              return;
          std::thread back([this, &caller, &callee] { pass_on(*callee, caller, one_way_); });
          pass_on(caller, *callee, one_way_);
          back.join();
      })
{}

gateway::gateway(std::string name, const std::string& store_address,
                 std::map<std::string, std::string> fields, std::string directory, recorder& record)
    : name_(std::move(name)), fields_(std::move(fields)), directory_(std::move(directory)), record_(record)
{
    const auto peers = free_address();
    const std::map<std::string, std::string> defaults{
        {"nodeName", name_},
        {"zone", "kitami-a"},
        {"region", "dotou"},
        {"limits.cpuShare", "0.2"},
        {"limits.cores", "1"},
        {"listen.front", free_address()},
        {"listen.ready", free_address()},
        {"listen.directory", free_address()},
        {"ip", "127.0.0.1"},
        {"internalPorts.0", peers.substr(peers.rfind(':') + 1)},
        {"platform.address", store_address},
        {"bounds.graceS", "6"},
        {"bounds.maxShift", "0.15"},
        {"bounds.coldMultiplier", "1.5"},
        {"bounds.coldSlack", "5"},
        {"bounds.retryBudgetRatio", "0.2"},
        {"bounds.budgetExtra", "60"},
    };
    fields_.insert(defaults.begin(), defaults.end());
}

gateway::~gateway()
{
    send(SIGKILL);
    ended_within(milliseconds(5000));
}

/** Renders the template as the platform does, for the placeholders and the one section that it has. */
void gateway::write_settings()
{
    std::ifstream in("deploy/gateway.ini.template");
    std::ostringstream content;
    content << in.rdbuf();
    auto text = content.str();
    const std::string begin = "{{#zones}}\n";
    const std::string end = "{{/zones}}\n";
    const auto section = text.find(begin);
    text.replace(section, text.find(end) + end.size() - section, "kitami-a = dotou\n");
    for (const auto& [name, value] : fields_) {
        const auto placeholder = "{{" + name + "}}";
        for (auto at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder))
            text.replace(at, placeholder.size(), value);
    }
    // The metrics address is the only one with a port that the template fixes.
    const std::string fixed_port = "127.0.0.1:9464";
    if (const auto at = text.find(fixed_port); at != std::string::npos)
        text.replace(at, fixed_port.size(), free_address());
    std::ofstream(directory_ + "/" + name_ + ".ini") << text;
}

void gateway::start()
{
    const auto settings = directory_ + "/" + name_ + ".ini";
    if (!std::filesystem::exists(settings))
        write_settings();
    const auto log = directory_ + "/" + name_ + ".log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::string program = "target/knapweed-gateway"; // as in deploy/system.toml
    std::vector<std::string> environment{"KNAPWEEDPICK_NODE_FILE=" + settings};
    if (const char* path = std::getenv("PATH"))
        environment.push_back(std::string("PATH=") + path);
    std::vector<char*> environment_pointers;
    for (auto& variable : environment)
        environment_pointers.push_back(variable.data());
    environment_pointers.push_back(nullptr);
    char* arguments[] = {program.data(), nullptr};
    if (::posix_spawn(&process_, program.c_str(), &actions, nullptr, arguments,
                      environment_pointers.data()) != 0) {
        std::fprintf(stderr, "%s can't be started\n", program.c_str());
        finish(exit_not_run);
    }
    posix_spawn_file_actions_destroy(&actions);
    {
        const std::lock_guard lock(started_mutex);
        started_processes.insert(process_);
    }
    record_.add("started", "gateway=" + name_ + " process=" + std::to_string(process_));
}

void gateway::send(int signal)
{
    if (!running())
        return;
    record_.add("signal", "gateway=" + name_ + " signal=" + std::to_string(signal));
    ::kill(process_, signal);
}

bool gateway::running()
{
    if (process_ <= 0)
        return false;
    int status = 0;
    if (::waitpid(process_, &status, WNOHANG) != process_)
        return true;
    {
        const std::lock_guard lock(started_mutex);
        started_processes.erase(process_);
    }
    process_ = 0;
    record_.add("process_ended", "gateway=" + name_ + " wait_status=" + std::to_string(status));
    return false;
}

bool gateway::ready_within(milliseconds time)
{
    const auto limit = clock::now() + time;
    while (clock::now() < limit) {
        if (!running())
            break;
        if (const auto probe = connection::open(readiness())) {
            const auto answer = probe->send("GET /ready HTTP/1.1\r\nHost: " + readiness() + "\r\n\r\n")
                                    ? probe->read(clock::now() + milliseconds(500))
                                    : std::nullopt;
            if (answer && answer->status() == 200)
                return true;
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    std::ifstream log(directory_ + "/" + name_ + ".log");
    for (std::string line; std::getline(log, line);) {
        if (!line.starts_with("{"))
            record_.add("output", line);
    }
    return false;
}

bool gateway::ended_within(milliseconds time)
{
    const auto limit = clock::now() + time;
    while (running() && clock::now() < limit)
        std::this_thread::sleep_for(poll_interval);
    return !running();
}

case_options parse_case(int argc, char** argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    case_options options;
    if (argc != 3) {
        std::fprintf(stderr, "usage: %s FOLDER SCRATCH\n", argv[0]);
        finish(exit_not_run);
    }
    options.folder = argv[1];
    options.scratch = argv[2];
    const char* trouble = std::getenv("TROUBLE");
    options.trouble = trouble == nullptr || std::string(trouble) != "0";
    return options;
}

std::string make_request(const std::string& method, const std::string& target, const std::string& id,
                         milliseconds time_left, const std::string& body)
{
    auto text = method + " " + target + " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id +
                "\r\nDeadline-Remaining: " + std::to_string(time_left.count()) + "\r\n";
    if (!body.empty())
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

std::string make_configuration(unsigned version, const std::vector<route_description>& routes,
                               std::size_t max_body_bytes)
{
    char version_text[16];
    std::snprintf(version_text, sizeof version_text, "%08x", version);
    json document{{"version", version_text},
                  {"limits",
                   {{"maxHeaderBytes", 16384},
                    {"maxBodyBytes", max_body_bytes},
                    {"headerTimeoutMs", 3000},
                    {"idleTimeoutMs", 15000}}}};
    for (const auto& route : routes) {
        document["routes"]["to-" + route.service] = {{"host", "shop.example"},
                                                     {"prefix", "/" + route.service + "/"},
                                                     {"kind", route.kind},
                                                     {"timeoutMs", route.timeout_ms},
                                                     {"targetLatencyMs", route.target_ms},
                                                     {"priority", 1},
                                                     {"service", route.service},
                                                     {"maxAttempts", 2},
                                                     {"sticky", false},
                                                     {"allowedRegions", json::array()}};
        document["services"][route.service] = {{"healthPath", "/health"}, {"maxConns", 360},
                                               {"protocol", "h1"},        {"tls", false},
                                               {"coldStartS", 3.0},       {"coldPerS", 14.0}};
    }
    return document.dump();
}

} // namespace review
