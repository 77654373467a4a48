// Stand-ins of the platform's store, of backend servers and of clients, and the start of real gateways, for
// the scripts of the second review. All run in one thread on loopback addresses and the real clock.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::awaitable;
using nlohmann::json;
using tcp = asio::ip::tcp;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

inline constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

// Exit statuses of a script.
inline constexpr int held = 0;
inline constexpr int broken = 1;
inline constexpr int could_not_run = 2;

// Whether the disruption is played; TROUBLE=0 leaves it out.
bool with_trouble();

// Writes record.txt: a line for each event, with the milliseconds since the start of the script.
class record {
public:
    explicit record(const std::string& path);
    ~record();
    record(const record&) = delete;
    record& operator=(const record&) = delete;
    void line(const char* format, ...) __attribute__((format(printf, 2, 3)));
    // Writes to the record and to standard output.
    void say(const char* format, ...) __attribute__((format(printf, 2, 3)));
    double now_ms() const;

private:
    void write(const char* format, va_list arguments, bool also_out);
    std::FILE* file_;
    steady::time_point start_;
};

// Ports of this run, the same on all machines: a block that nobody listens at on any address of this machine.
enum class port : std::uint16_t { callers, readiness, lookups, peers, metrics, store, servers };
std::uint16_t number_of(port which);
std::string with_port(const std::string& ip, port which);

// Loopback addresses of this run, drawn at random so that two runs don't meet.
class addresses {
public:
    addresses();
    // A machine's own address; the ports are the same on all machines.
    std::string machine(int number) const;

private:
    int second_;
    int third_;
};

awaitable<void> pause(milliseconds time);
awaitable<void> pause_until(steady::time_point when);
std::string random_hex(std::size_t digits);
std::string base64(const std::string& bytes);
std::optional<std::string> from_base64(const std::string& text);
std::int64_t unix_ms();

// The platform's metadata store: rows, transactions, lists in pages and a feed.
class store {
public:
    store(asio::io_context& io, record& log);

    // Takes calls at a further address, as those of machines at a distance. A gateway doesn't bind its calls
    // to its own address, so machines are told apart by the address that they call. Returns the address for
    // the settings.
    std::string listen_at(const std::string& ip, milliseconds one_way);
    // Cuts the machines that call an address off: their connections are reset, new ones are refused; or heals
    // the cut.
    void cut(const std::string& address);
    void heal(const std::string& address);
    // When a machine last began to wait for changes, by the address that it calls.
    std::map<std::string, steady::time_point> last_feed;
    // What the operator and the servers write. Returns the version; the row is acknowledged with the return.
    std::uint64_t put(const std::string& table, const std::string& key, const json& value);
    std::uint64_t remove(const std::string& table, const std::string& key);
    std::uint64_t version() const { return version_; }
    // Time in which a call is answered; the pages give 4 ms.
    milliseconds answer_time{4};
    // Called when the rows of a list have been read, before they are sent.
    std::function<void(const std::string& table, const std::string& from, const std::string& called,
                       std::size_t rows)>
        on_list;

private:
    struct row {
        std::string value;
        std::uint64_t version = 0;
        bool removed = false;
    };
    using request = http::request<http::string_body>;
    using response = http::response<http::string_body>;

    struct entrance {
        std::string ip;
        milliseconds one_way{0};
        std::shared_ptr<tcp::acceptor> acceptor; // null while it is cut off
        std::list<std::weak_ptr<tcp::socket>> connections;
    };

    void open(entrance& opened);
    awaitable<void> accept(std::shared_ptr<tcp::acceptor> acceptor, entrance& at);
    awaitable<void> serve(std::shared_ptr<tcp::socket> socket, const entrance& at);
    awaitable<response> answer(const request& call, const std::string& called);
    json rows_after(const std::string& table, std::uint64_t version) const;

    asio::io_context& io_;
    record& log_;
    std::map<std::string, entrance> entrances_; // by address
    std::map<std::string, std::map<std::string, row>> tables_;
    std::uint64_t version_ = 100;
    steady::time_point start_ = steady::now();
};

struct arrival {
    double at_ms = 0;
    std::string id;
    std::string server;
    std::string path;
    bool run = false;
};

struct server_settings {
    std::string service;
    std::string zone;
    unsigned slots = 3;
    unsigned queue = 9;
    milliseconds work{240};
    std::size_t answer_bytes = 400;
};

// A backend server that keeps to the pages.
class server {
public:
    server(asio::io_context& io, store& of, record& log, std::vector<arrival>& arrivals,
           const std::string& ip, std::string id, server_settings settings);

    const std::string& id() const { return id_; }
    const server_settings& settings() const { return settings_; }
    // Writes the entry; returns the time of the ack.
    double enter(const std::string& state);
    double leave_table();
    // The process ends: nobody listens, all connections are reset, running work is lost.
    void end();
    // Breaks a share of the answers off: the connection is closed after four fifths of the body.
    void break_answers(double share) { broken_share_ = share; }
    bool is_up() const { return acceptor_ != nullptr; }
    unsigned running() const { return running_; }
    std::size_t lost_runs() const { return lost_runs_; }

private:
    using request = http::request<http::string_body>;
    awaitable<void> accept(std::shared_ptr<tcp::acceptor> acceptor);
    awaitable<void> serve(std::shared_ptr<tcp::socket> socket);

    asio::io_context& io_;
    store& store_;
    record& log_;
    std::vector<arrival>& arrivals_;
    std::string ip_;
    std::string id_;
    server_settings settings_;
    std::int64_t born_ = unix_ms();
    std::shared_ptr<tcp::acceptor> acceptor_;
    std::list<std::weak_ptr<tcp::socket>> connections_;
    unsigned running_ = 0;
    unsigned waiting_ = 0;
    std::size_t lost_runs_ = 0;
    double broken_share_ = 0;
    std::uint64_t sequence_ = 0;
};

// Settings of a small deployment, as the platform renders deploy/gateway.ini.template.
struct gateway_place {
    std::string name;
    std::string ip;
    std::string zone;
    std::string region;
    std::string store;
    std::vector<std::pair<std::string, std::string>> zones; // with their regions
    double cpu_share = 0.2;
    int grace_s = 6;
};

// One process of the deploy file's role `gateway`.
class gateway_process {
public:
    gateway_process(gateway_place place, std::string folder, record& log);
    ~gateway_process();
    gateway_process(const gateway_process&) = delete;
    gateway_process& operator=(const gateway_process&) = delete;

    const gateway_place& place() const { return place_; }
    std::string callers() const { return with_port(place_.ip, port::callers); }
    bool start();
    void signal(int number);
    // Waits for the end after a signal; returns the wait status, or nothing while it runs.
    std::optional<int> ended();
    bool runs();
    double started_ms() const { return started_ms_; }

private:
    gateway_place place_;
    std::string folder_;
    record& log_;
    int pid_ = 0;
    double started_ms_ = 0;
};

struct reply {
    double sent_ms = 0;
    double ended_ms = 0;
    bool connected = false;
    bool whole = false;  // a complete answer
    unsigned status = 0; // 0 without an answer
    bool closes = false; // it announces that the connection closes
    std::string seal;
    std::string id;
    std::string body;
    std::string reason;
    std::string fields;
};

struct question {
    std::string method = "GET";
    std::string host;
    std::string path;
    std::string body;
    int deadline_ms = 1200;
    std::string id = random_hex(16);
};

std::string to_text(const question& asked);

// A client's connection: one request at a time.
class client {
public:
    client(asio::io_context& io, const std::string& address);
    awaitable<bool> connect(milliseconds limit = milliseconds(1000));
    awaitable<reply> ask(question asked, record& log);
    bool is_open() const { return open_; }
    tcp::socket& socket() { return socket_; }
    void close();

private:
    asio::io_context& io_;
    tcp::endpoint remote_;
    tcp::socket socket_;
    beast::flat_buffer buffer_;
    bool open_ = false;
};

// Asks GET /ready at a machine; returns the status, 0 without an answer.
awaitable<unsigned> readiness(asio::io_context& io, std::string ip);
awaitable<bool> wait_ready(asio::io_context& io, std::vector<std::string> ips, milliseconds limit);

struct route_entry {
    std::string name;
    std::string host;
    std::string prefix;
    std::string kind = "safe";
    std::string service;
    int timeout_ms = 1200;
    int target_ms = 300;
    int attempts = 2;
    int priority = 1;
};
json make_configuration(const std::string& version, const std::vector<route_entry>& routes,
                        const std::vector<std::string>& services, int idle_ms = 15000);

// Runs a case: starts it in the event loop, ends after the limit at the latest.
int play(const std::function<awaitable<int>(asio::io_context&, record&)>& run, const std::string& folder,
         milliseconds limit);

} // namespace review
