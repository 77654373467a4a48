#pragma once

#include "gateway_process.h"
#include "port_block.h"
#include "server_stand_in.h"
#include "soak_caller.h"
#include "store_stand_in.h"
#include "tcp_proxy.h"

#include <boost/asio/io_context.hpp>

namespace knapweed::soak {

struct store_fleet_options {
    std::string program;   ///< path of knapweed-gateway
    std::string directory; ///< for histories, settings and logs
    /** Path of an earlier build, between which and the other one every second gateway changes with each
     * start; empty for none. */
    std::string previous_program;
    std::string name; ///< of the run and its history
    std::uint64_t seed = 1;
    int gateways = 4;
    std::uint64_t longest_body = 1U << 20U; ///< by the configuration, in bytes
    unsigned memory_mb = 0;                 ///< of each gateway's machine, 0 for the default of the settings
};

/** Real gateways that share one store, each behind a link of its own, with backend servers behind proxies, in
   two data centres. */
class store_fleet {
public:
    struct server_place {
        std::unique_ptr<server_stand_in> server;
        std::unique_ptr<tcp_proxy> proxy;
    };

    explicit store_fleet(store_fleet_options options);

    [[nodiscard]] const std::string& history_file() const noexcept { return history_file_; }
    [[nodiscard]] net::asio::io_context& io() noexcept { return io_; }
    [[nodiscard]] event_history& history() noexcept { return history_; }
    [[nodiscard]] core::random_source& random() noexcept { return random_; }
    [[nodiscard]] request_records& records() noexcept { return records_; }
    [[nodiscard]] const request_records& records() const noexcept { return records_; }
    [[nodiscard]] store_stand_in& store() noexcept { return store_; }
    [[nodiscard]] std::vector<std::unique_ptr<tcp_proxy>>& store_links() noexcept { return store_links_; }
    [[nodiscard]] std::vector<server_place>& servers() noexcept { return servers_; }
    [[nodiscard]] soak_caller::gateway_list& gateways() noexcept { return gateways_; }
    [[nodiscard]] const soak_caller::gateway_list& gateways() const noexcept { return gateways_; }
    [[nodiscard]] std::vector<std::unique_ptr<soak_caller>>& callers() noexcept { return callers_; }

    void add_servers(const std::string& service, int number);
    [[nodiscard]] std::string data_centre_of(const server_place& place) const;
    /** @param born time of the start that the entry states. */
    void write_server(const server_place& place, bool leaving, std::uint64_t born = 1);
    /** Writes a configuration. @param moved_to service to which the route `/moved/` leads. @param more_routes
       number of further routes, which nobody uses. @returns its size in bytes. */
    std::size_t write_configuration(unsigned version, const std::string& moved_to, unsigned more_routes = 0);
    void start_gateways();
    void start_callers(int number, caller_habits habits = {});

    void schedule(core::milliseconds at, std::function<void()> action);
    net::asio::awaitable<void> sleep(core::milliseconds time);
    /** @returns whether a request was sent to a process of the earlier build. */
    [[nodiscard]] bool concerns_previous_program(const request_record& record) const;
    /** Starts processes again that have ended. @returns descriptions of ends that nobody asked for. */
    [[nodiscard]] std::vector<std::string> restart_ended_gateways();

private:
    store_fleet_options options_;
    core::random_source random_;
    core::random_source ports_; ///< differs between runs that share a seed and a machine
    core::boot_clock time_;
    std::string history_file_;
    event_history history_;
    net::asio::io_context io_{1};
    request_records records_;
    store_stand_in store_;
    std::vector<std::unique_ptr<tcp_proxy>> store_links_;
    std::vector<server_place> servers_;
    std::unique_ptr<port_block> gateway_ports_;
    soak_caller::gateway_list gateways_;
    std::vector<std::unique_ptr<soak_caller>> callers_;
    std::vector<std::unique_ptr<net::asio::steady_timer>> timers_;
};

/** @returns an address as ip:port. */
[[nodiscard]] std::string text_of(const net::tcp::endpoint& address);

} // namespace knapweed::soak
