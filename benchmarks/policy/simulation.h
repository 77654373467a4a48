#pragma once

#include "policy/scenario.h"
#include "policy/scheduler.h"
#include "policy/tally.h"

#include <queue>

namespace knapweed::measure {

/** Discrete-event simulation of callers, one pool per data centre, and servers, on the simulated clock. */
class simulation {
public:
    simulation(const firm& measured_firm, const scenario& situation, policy kind, std::uint64_t seed);

    /** Runs the simulation to its end. @returns the figures measured after the warm-up. */
    tally run();

private:
    enum class event_kind {
        arrival,          ///< a caller sends a request
        at_pool,          ///< the request arrives at its pool
        at_server,        ///< the request arrives at its server
        server_done,      ///< the server ends the run
        answer,           ///< the answer arrives at the pool
        deadline,         ///< the deadline of the request passes while it runs
        cancel_at_server, ///< a cancellation arrives at the server
        probe,            ///< a probe counts the runs on the server
        report            ///< the answer to a probe arrives at the pool
    };

    struct scheduled_event {
        core::time_point time;
        std::uint64_t order = 0;
        event_kind kind = event_kind::arrival;
        std::size_t target_index = 0; ///< rank, request or server
        std::size_t data_centre = 0;
        unsigned attempt = 0; ///< of the request; for a report, the runs on the server

        bool operator>(const scheduled_event& other) const
        {
            return std::pair(time, order) > std::pair(other.time, other.order);
        }
    };
    /** A request with its current run. */
    struct simulated_request {
        core::rank rank = core::rank::standard;
        std::size_t data_centre = 0;
        core::time_point created;
        core::duration one_way_latency{0}; ///< between caller and pool
        core::duration run{0};             ///< run time on the server
        core::duration timeout{0};
        core::time_point started;
        std::size_t server = 0;
        unsigned attempt = 0; ///< rises when a run ends, so that its later events are ignored
        bool on_server = false;
        bool running = false;
    };
    struct data_centre_state {
        std::unique_ptr<scheduler> owner;
        std::vector<std::uint32_t> active; ///< runs in progress, by server
        core::per_rank<double> arrivals_per_second{};
        core::per_rank<std::size_t> running{};
        core::per_rank<double> used_seconds{};       ///< slot time since the start
        std::vector<core::per_rank<double>> samples; ///< of `used_seconds`, once a second
        std::size_t slots = 0;
        bool lost = false; ///< takes no requests
    };

    void add_data_centre(std::size_t index, const scenario& situation, policy kind);
    void push(core::duration delay, event_kind kind, std::size_t target_index, std::size_t data_centre,
              unsigned attempt = 0);
    void handle(const scheduled_event& event);
    void advance_time(core::duration step);
    void on_arrival(core::rank rank, std::size_t home);
    void on_pool(std::size_t index);
    void on_server(std::size_t index);
    void on_server_done(std::size_t index);
    void end_run(std::size_t index, decision::run_end end);
    void cancel(std::size_t index);
    void on_probe(std::size_t server, std::size_t data_centre);
    void schedule_runs(std::size_t data_centre);
    void refuse(const simulated_request& refused);
    /** Stores the used slot time, once per second. */
    void sample();
    void compute_minimum_shares();
    [[nodiscard]] bool is_measured(const simulated_request& request) const;
    /** @returns the home data centre or, if it is lost, a random other one. */
    [[nodiscard]] std::size_t data_centre_for(std::size_t home);
    /** @returns a random value of the standard normal distribution. */
    [[nodiscard]] double normal();

    firm firm_;
    core::simulated_clock time_;
    core::random_source random_;
    core::time_point begin_;
    core::time_point measured_from_;
    core::time_point end_;
    std::uint64_t next_order_ = 0;
    std::priority_queue<scheduled_event, std::vector<scheduled_event>, std::greater<>> events_;
    std::vector<data_centre_state> data_centres_;
    std::vector<simulated_request> requests_;
    tally tally_;
};

} // namespace knapweed::measure
