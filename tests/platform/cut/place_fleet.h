#pragma once

#include "cut_place.h"
#include "gateway_trouble.h"
#include "port_block.h"

#include <boost/asio/io_context.hpp>

namespace knapweed::soak {

struct fleet_options {
    std::string program;          ///< path of knapweed-gateway
    std::string directory;        ///< for the history, settings and logs
    std::string previous_program; ///< an earlier build, which every second gateway runs at first; or empty
    std::string name;             ///< of the run and its history
    std::uint64_t seed = 1;
    std::size_t regions = cut_place::number_of_places;
};

/** @param test whose name the run bears. */
[[nodiscard]] fleet_options make_fleet_options(const std::string& test, const trouble_options& options,
                                               std::size_t regions = cut_place::number_of_places);

/** Real gateways with their places, the servers, and what callers and servers saw; for runs in which servers
    or single gateways are in trouble. */
class place_fleet {
public:
    explicit place_fleet(fleet_options options);

    [[nodiscard]] const std::string& history_file() const noexcept { return history_file_; }
    [[nodiscard]] net::asio::io_context& io() noexcept { return io_; }
    [[nodiscard]] event_history& history() noexcept { return history_; }
    [[nodiscard]] request_records& records() noexcept { return records_; }
    [[nodiscard]] const request_records& records() const noexcept { return records_; }
    [[nodiscard]] core::random_source& random() noexcept { return random_; }
    [[nodiscard]] std::vector<std::unique_ptr<server_stand_in>>& servers() noexcept { return servers_; }
    [[nodiscard]] std::vector<gateway_process*> running_gateways() const;
    /** @returns whether a request was sent to a process of the earlier build. */
    [[nodiscard]] bool concerns_previous_program(const request_record& record) const;
    /** @returns the gateway that the troubles below concern. */
    [[nodiscard]] std::string troubled_gateway() const;

    /** Starts all gateways, but the last one if @p last_is_late. Runs @p play until it returns, and checks
        the general promises. @returns the broken ones in words. */
    [[nodiscard]] std::vector<std::string> run(bool last_is_late,
                                               const std::function<net::asio::awaitable<void>()>& play);
    /** Starts the callers of all gateways that run. */
    void start_callers();
    void stop_callers();
    void schedule(core::milliseconds after, std::function<void()> action);
    net::asio::awaitable<void> sleep(core::milliseconds time);

    /** Lets all links to a server that has ended refuse connections. */
    void server_ended(std::size_t number);
    /** Writes the entry of a server in the store again, as ready, or removes it. */
    void write_entry(std::size_t number);
    void remove_entry(std::size_t number);
    /** Starts a new process of a server. */
    void restart_server(std::size_t number);

    /** Troubles of the last gateway, each after a time from now. */
    void cut_off_servers(core::milliseconds after, core::milliseconds duration);
    void kill_and_restart(core::milliseconds after);
    void suspend(core::milliseconds after, core::milliseconds duration);
    void start_late(core::milliseconds after);
    /** Schedules one of them, or nothing. @param duration of those that end. */
    void trouble_last(gateway_trouble kind, core::milliseconds after, core::milliseconds duration);

private:
    void share_writes(cut_place& from);
    void start_gateway(std::size_t number);
    net::asio::awaitable<void> watch_processes();
    [[nodiscard]] cut_place& last() { return *places_.back(); }

    fleet_options options_;
    core::random_source random_;
    core::random_source ports_; ///< differs between runs that share a seed and a machine
    core::boot_clock time_;
    std::string history_file_;
    event_history history_;
    net::asio::io_context io_{1};
    request_records records_;
    std::vector<std::string> broken_;
    std::vector<std::unique_ptr<server_stand_in>> servers_;
    std::unique_ptr<port_block> port_block_;
    std::vector<std::unique_ptr<cut_place>> places_;
    std::vector<std::unique_ptr<net::asio::steady_timer>> timers_;
    std::size_t number_started_ = 0; ///< of the gateways
};

} // namespace knapweed::soak
