#pragma once

#include "gateway/caller_listener.h"
#include "gateway/forwarded_request.h"
#include "memory_file.h"
#include "net/upstream_fake.h"

#include <boost/asio/io_context.hpp>
#include <thread>

namespace knapweed::test {

/** @returns a dialect for the tests, with other names than a real platform: the gateway must work with any.
 */
inline gateway::http_dialect test_dialect()
{
    gateway::http_dialect dialect;
    dialect.request_id_field = "X-Id";
    dialect.time_limit_field = "X-Left";
    dialect.object_cookie = "object";
    dialect.expected_server_field = "X-Server";
    dialect.signature_field = "X-Seal";
    dialect.not_run_field = "X-Not-Run";
    dialect.load_field = "X-Load";
    dialect.remaining_cold_time_field = "X-Cold";
    dialect.request_limit_field = "X-Limit";
    dialect.parse_request_limit = [](std::string_view) { return std::optional<double>(); };
    dialect.parse_load = [](std::string_view) { return std::optional<steering::load_report>(); };
    dialect.api_key_field = "X-Key";
    dialect.account_field = "X-Account";
    dialect.readiness_path = "/ready";
    dialect.lookup_path = "/look-up";
    dialect.write_lookup_answer = [](const auto&, auto) { return std::string("{}"); };
    return dialect;
}

/** Limits of bodies, in bytes. */
struct body_sizes {
    std::uint64_t longest = 4096;     ///< by the configuration
    std::uint64_t memory = 160000000; ///< of the machine
};

/** A listener that forwards requests to scripted servers and runs on its own thread. */
class forwarding_fixture {
public:
    /** @param scripts a server is started for each. @param idempotent whether the route's requests may run
        more than once. @param max_attempts servers to which a request may be sent. */
    explicit forwarding_fixture(std::vector<std::function<scripted_reply(const std::string&)>> scripts,
                                bool idempotent = true, core::milliseconds timeout = core::milliseconds(5000),
                                unsigned max_attempts = 2, body_sizes sizes = {});
    forwarding_fixture(const forwarding_fixture&) = delete;
    forwarding_fixture& operator=(const forwarding_fixture&) = delete;
    ~forwarding_fixture();

    [[nodiscard]] std::uint16_t port() const { return listener_.port(); }
    /** @returns the port for requests that other instances relay. */
    [[nodiscard]] std::uint16_t relay_port() const { return relayed_.port(); }
    /** @returns the number of requests of other instances that are accepted at the same time. */
    [[nodiscard]] std::size_t max_relayed() const { return steerer_.max_relayed_requests(); }
    /** @returns the memory for bodies; call its functions on the gateway's thread. */
    [[nodiscard]] gateway::body_budget& bodies() noexcept { return bodies_; }
    /** Enforces the time limits of the callers' connections. */
    void tick();
    /** Begins a graceful shutdown. By default, the grace period is longer than the time limits of requests.
     */
    void begin_shutdown(core::milliseconds grace_period = core::milliseconds(60000));
    /** Begins a graceful shutdown in which relayed requests are not accepted any more. */
    void stop_relayed();
    [[nodiscard]] upstream_fake& server(std::size_t index) { return *servers_.at(index); }
    [[nodiscard]] std::size_t requests_at_servers() const;
    /** Writes an entry for the server with a number: another one, or its own anew with another start time. */
    void put_entry(std::size_t index, const std::string& id, std::uint64_t started_unix_ms);
    /** Applies a changed version of the configuration. */
    void change_policy(const std::function<void(steering::traffic_policy&)>& change);
    /** @returns the gateway's estimate of the share of failures of a server; call it on the gateway's thread.
     */
    [[nodiscard]] double failure_share_of(std::size_t index) const;
    /** @returns whether the gateway takes a server for cold; call it on the gateway's thread. */
    [[nodiscard]] bool is_cold(std::size_t index) const;
    /** @returns the log lines since the last call. */
    [[nodiscard]] std::string take_log();
    /** Runs @p action on the gateway's thread, which is blocked until it returns. */
    void run_on_gateway_thread(const std::function<void()>& action);

private:
    [[nodiscard]] steering::server_record make_record(std::size_t index) const;
    net::asio::awaitable<void> forward(std::shared_ptr<gateway::caller_exchange> exchange);
    net::asio::awaitable<void> forward_relayed(std::shared_ptr<gateway::caller_exchange> exchange);
    [[nodiscard]] std::shared_ptr<gateway::session_context>
    make_context(gateway::session_context::handler handle);

    std::vector<std::unique_ptr<upstream_fake>> servers_;
    core::boot_clock time_;
    gateway::body_budget bodies_;
    gateway::http_dialect dialect_ = test_dialect();
    boost::asio::io_context io_{1};
    gateway::gateway_metrics metrics_;
    memory_file log_file_;
    gateway::event_log log_;
    steering::steerer steerer_;
    net::connection_pool connections_;
    gateway::relay_sender relays_;
    gateway::graceful_shutdown shutdown_{time_};
    gateway::forwarder_context context_;
    gateway::caller_listener listener_;
    gateway::caller_listener relayed_;
    std::thread thread_;
};

/** @returns a request of a caller. @param fields header lines, each terminated by CRLF. */
[[nodiscard]] std::string make_request(const std::string& id, const std::string& method = "GET",
                                       const std::string& fields = "", const std::string& body = "");

/** @returns a server's signed answer to the request with this id. */
[[nodiscard]] std::string make_signed_reply(const std::string& id, const std::string& body,
                                            const std::string& status = "200 OK");

} // namespace knapweed::test
