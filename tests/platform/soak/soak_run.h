#pragma once

#include "pipelining_caller.h"
#include "promise_checker.h"
#include "store_fleet.h"

namespace knapweed::soak {

struct soak_options {
    std::string program;   ///< path of knapweed-gateway
    std::string directory; ///< for histories, settings and logs
    /** Path of an earlier build, between which and the other one every second gateway changes with each
     * start; empty for none. */
    std::string previous_program;
    std::uint64_t seed = 1;
    int gateways = 4;
    int servers_per_service = 4;
    int callers = 10;
    int pipelining_callers = 3;
    core::milliseconds length{10000}; ///< of the time with faults
};

/** Result of one run. */
struct soak_result {
    std::vector<std::string> broken; ///< promises, in words
    std::size_t requests = 0;
    std::size_t successes = 0;
    std::size_t faults = 0;
    std::size_t peak_memory_kb = 0;
    std::string history; ///< file
};

/** One randomized run: real gateways, stand-ins of the store, the servers and the callers, and faults drawn
   from the seed. Each third seed has planned work only, so that the promises about planned work can be
   checked. */
class soak_run {
public:
    explicit soak_run(soak_options options);

    [[nodiscard]] soak_result run();

private:
    using server_place = store_fleet::server_place;

    void start();
    void start_callers();
    void write_configuration();
    void schedule_faults();
    void schedule(core::milliseconds at, std::function<void()> action)
    {
        fleet_.schedule(at, std::move(action));
    }
    void add_planned_work(core::milliseconds at);
    void add_fault(core::milliseconds at);
    void add_gateway_fault(core::milliseconds at, core::milliseconds duration);
    void add_server_fault(core::milliseconds at, core::milliseconds duration);
    [[nodiscard]] server_place& disturbed_server(core::milliseconds at, core::milliseconds duration);
    void announce_leaving(core::milliseconds at);
    void ask_for_rest(core::milliseconds at);
    void return_older_store(core::milliseconds at);
    void copy_refusals(core::milliseconds at);
    void note_disturbance(const std::string& concerned, core::milliseconds at, core::milliseconds duration);
    void check_statements();
    void stop_gateway(gateway_process& gateway, int signal);
    void drain(server_place& place);
    void end_and_restart(server_place& place, const std::string& id);
    net::asio::awaitable<void> watch_processes();
    net::asio::awaitable<void> finish();

    template <typename Item>
    [[nodiscard]] Item& any_of(std::vector<Item>& items)
    {
        return items[fleet_.random().below(items.size())];
    }

    soak_options options_;
    store_fleet fleet_;
    std::vector<std::unique_ptr<pipelining_caller>> pipelining_callers_;
    core::random_source statements_; ///< apart from the fleet's, so that earlier seeds keep their faults
    planned_changes changes_;
    soak_result result_;
    std::uint64_t configuration_ = 0;
    bool finished_ = false;
};

} // namespace knapweed::soak
