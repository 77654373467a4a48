#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

/** Stand-ins of the platform, of backend servers and of callers, and helpers to start the gateway. They use
   blocking sockets and one thread for each connection. */
namespace review {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/** @returns the milliseconds since the case began. */
double now_ms();

/** The record of a case, in lines of the form `TIME EVENT FIELDS`. Safe for use by several threads. */
class recorder {
public:
    explicit recorder(const std::string& file) : out_(file) {}
    void add(const std::string& event, const std::string& fields);

private:
    std::mutex mutex_;
    std::ofstream out_;
};

struct http_message {
    std::string first_line;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    [[nodiscard]] std::string field(const std::string& name) const; ///< empty when absent
    [[nodiscard]] std::string method() const;
    [[nodiscard]] std::string target() const;
    [[nodiscard]] int status() const;
    [[nodiscard]] bool closes() const { return field("connection") == "close"; }
};

/** A connected socket. */
class connection {
public:
    explicit connection(int descriptor = -1) : descriptor_(descriptor) {}
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() { close(); }

    [[nodiscard]] static std::unique_ptr<connection> open(const std::string& address,
                                                          milliseconds limit = milliseconds(1000));
    [[nodiscard]] bool send(const std::string& text);
    /** Reads one message. @returns nothing when the connection ends before its end, or at @p limit. */
    [[nodiscard]] std::optional<http_message> read(clock::time_point limit = clock::time_point::max());
    /** @returns whether a byte has been received, or the connection has ended, within a time. */
    [[nodiscard]] bool readable_within(milliseconds time);
    /** @returns whether the other side has closed the connection within a time. */
    [[nodiscard]] bool closed_within(milliseconds time);
    /** @returns whether the other side ended the connection, as opposed to a time limit. */
    [[nodiscard]] bool ended() const noexcept { return ended_; }
    [[nodiscard]] int descriptor() const noexcept { return descriptor_; }
    /** Makes pending calls of other threads return. */
    void shut_down();
    void close();

private:
    bool receive(clock::time_point limit);

    int descriptor_;
    std::string received_;
    bool ended_ = false;
};

/** Listens on a loopback address and serves each connection on a thread of its own. */
class listener {
public:
    explicit listener(std::function<void(connection&)> serve);
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;
    ~listener();

    [[nodiscard]] const std::string& address() const noexcept { return address_; }

private:
    struct state;
    std::shared_ptr<state> state_;
    std::string address_;
};

/** @returns a loopback address with a port that is free now. */
std::string free_address();

/** The platform's metadata store: lists, long polls for changes, and transactions. */
class store {
public:
    store();
    [[nodiscard]] const std::string& address() const noexcept { return listener_.address(); }
    void put(const std::string& table, const std::string& key, const std::string& value);
    /** @param value in base64, as its writer sent it; the store returns it unchanged. */
    void put_text(const std::string& table, const std::string& key, const std::string& value);

private:
    struct row {
        std::string value; ///< in base64
        std::uint64_t version = 0;
        bool removed = false;
    };
    void serve(connection& caller);
    std::string handle(const http_message& call);
    std::string rows_after(const std::string& table, std::uint64_t version, const std::string& from,
                           bool with_removed);

    std::mutex mutex_;
    std::map<std::string, std::map<std::string, row>> tables_;
    std::uint64_t version_ = 1;
    listener listener_;
};

struct server_options {
    std::string id;
    std::string service;
    std::string data_centre;
    unsigned slots = 3;
    unsigned queue = 9;
    /** @returns how long the server works on a request. */
    std::function<milliseconds(const http_message&)> work_time;
    std::size_t answer_bytes = 400;
    /** @returns whether the answer to a request breaks off halfway. */
    std::function<bool(const http_message&)> breaks_off = [](const http_message&) { return false; };
};

/** What happened to a request at a server. */
struct run_record {
    std::string server;
    double began_ms = 0; ///< when the server had the whole request
    std::optional<double> ended_ms;
    bool dropped = false; ///< the connection ended while the server was at work
    bool answered = false;
    bool sound = true; ///< false when the server broke its answer off
};

/** The runs of all servers by request id. */
class run_table {
public:
    void add(const std::string& request, const run_record& run);
    void update(const std::string& request, const std::string& server,
                const std::function<void(run_record&)>& change);
    [[nodiscard]] std::vector<run_record> of(const std::string& request) const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::vector<run_record>> runs_;
};

std::string answer_body(const std::string& request, std::size_t bytes);

/** A backend server: slots, a queue, the load in each answer, and no work for a closed connection. */
class backend {
public:
    backend(server_options options, run_table& runs, recorder& record);
    [[nodiscard]] std::string row(bool draining = false) const;
    [[nodiscard]] const server_options& options() const noexcept { return options_; }

private:
    void serve(connection& caller);
    void answer(connection& caller, const http_message& request, run_record& run);

    server_options options_;
    run_table& runs_;
    recorder& record_;
    std::mutex mutex_;
    unsigned running_ = 0;
    unsigned waiting_ = 0;
    listener listener_;
};

/** Passes bytes on, each after a delay, like a link with this one-way delay. */
class delay_proxy {
public:
    delay_proxy(std::string target, milliseconds one_way);
    [[nodiscard]] const std::string& address() const noexcept { return listener_.address(); }

private:
    std::string target_;
    milliseconds one_way_;
    listener listener_;
};

/** A gateway process with settings that are rendered from the template of the deploy file. */
class gateway {
public:
    /** @param fields replace the platform's fields of the template. */
    gateway(std::string name, const std::string& store_address, std::map<std::string, std::string> fields,
            std::string directory, recorder& record);
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;
    ~gateway();

    [[nodiscard]] const std::string& callers() const noexcept { return fields_.at("listen.front"); }
    [[nodiscard]] const std::string& lookups() const noexcept { return fields_.at("listen.directory"); }
    [[nodiscard]] const std::string& readiness() const noexcept { return fields_.at("listen.ready"); }
    void start();
    void send(int signal);
    /** @returns whether the readiness address answers 200 within a time. */
    [[nodiscard]] bool ready_within(milliseconds time);
    /** Waits for the end of the process. @returns whether it ended in time. */
    bool ended_within(milliseconds time);
    [[nodiscard]] bool running();
    void write_settings();

private:
    std::string name_;
    std::map<std::string, std::string> fields_;
    std::string directory_;
    recorder& record_;
    int process_ = 0;
};

/** Options of a case from its command line and environment: `PROGRAM FOLDER`, `TROUBLE`. */
struct case_options {
    std::string folder; ///< where `record.txt` is written
    std::string scratch;
    bool trouble = true;
};
case_options parse_case(int argc, char** argv);

std::string make_request(const std::string& method, const std::string& target, const std::string& id,
                         milliseconds time_left, const std::string& body = {});

/** One route to one service of the same name, in the text of a configuration. */
struct route_description {
    std::string service;
    std::string kind;
    int timeout_ms = 1200;
    int target_ms = 200;
};
std::string make_configuration(unsigned version, const std::vector<route_description>& routes,
                               std::size_t max_body_bytes = 67108864);

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

/** Ends all processes that the case has started, and then the case. */
[[noreturn]] void finish(int status);

} // namespace review
