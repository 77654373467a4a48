#pragma once

#include "experiment/deployment.h"
#include "experiment/fleet_report.h"
#include "experiment/simulated_server.h"
#include "steering/steering.h"

#include <queue>

namespace knapweed::experiment {

/** Callers, instances and servers of a deployment on a simulated clock. The instances are real steerers that
    exchange the messages which their fanout decides; processor time, faults and the store are not modelled.
   Callers come back once after a refusal. */
class fleet_simulation {
public:
    /** @param description must outlive this object. */
    fleet_simulation(const deployment& description, std::uint64_t seed);
    fleet_simulation(const fleet_simulation&) = delete;
    fleet_simulation& operator=(const fleet_simulation&) = delete;
    ~fleet_simulation();

    [[nodiscard]] fleet_report run();

private:
    struct instance;
    struct caller_request;

    struct timed_event {
        core::time_point time;
        std::uint64_t order = 0; ///< lower first, of events at the same time
        std::function<void()> action;

        bool operator<(const timed_event& other) const
        {
            return std::tie(other.time, other.order) < std::tie(time, order);
        }
    };

    void after(core::duration delay, std::function<void()> action);
    [[nodiscard]] core::duration delay(const steering::network_location& from,
                                       const steering::network_location& to) const;
    void add_servers();
    void start_instances();
    void tick();
    void send_status();
    void send_load(std::size_t sender, std::uint64_t generation, std::uint64_t round);
    [[nodiscard]] steering::instance_status status_of(instance& sender);
    void send_limit_reports(instance& sender);
    [[nodiscard]] bool has_limit(const core::server_id& server) const;
    [[nodiscard]] bool are_limits_in_force() const;
    [[nodiscard]] limit_use count_limit_use() const;
    template <typename Receive>
    void deliver(const instance& sender, const std::vector<std::string>& addresses, const Receive& receive);

    void schedule_arrival(std::size_t region);
    void begin(const std::shared_ptr<caller_request>& request);
    void perform(const std::shared_ptr<caller_request>& request, const steering::next_step& step);
    void arrive_at_server(const std::shared_ptr<caller_request>& request,
                          const steering::server_pointer& server, core::time_point sent);
    void serve(const std::shared_ptr<caller_request>& request, const steering::server_pointer& server,
               core::time_point sent);
    void answer(const std::shared_ptr<caller_request>& request, const steering::server_pointer& server,
                core::time_point sent, steering::attempt_outcome outcome);
    void count(const caller_request& request, double request_tally::*result);

    const deployment& description_;
    core::random_source random_;
    core::simulated_clock time_;
    core::time_point begin_;
    std::map<core::data_centre_id, core::region_id> regions_;
    std::vector<steering::server_record> server_records_;
    std::unordered_map<core::server_id, simulated_server> servers_;
    std::unordered_map<core::server_id, std::vector<core::time_point>> limited_arrivals_;
    std::vector<std::unique_ptr<instance>> instances_;
    std::vector<std::vector<std::size_t>> instances_by_region_;
    std::uint64_t generation_ = 0; ///< increases with each start of the instances
    std::uint64_t sequence_ = 0;
    std::priority_queue<timed_event> events_;
    std::uint64_t order_ = 0;
    fleet_report report_;
};

/** Runs one simulation. */
[[nodiscard]] inline fleet_report simulate(const deployment& description, std::uint64_t seed)
{
    return fleet_simulation(description, seed).run();
}

} // namespace knapweed::experiment
