#pragma once

#include "decision/retry_budget.h"
#include "steering/cold_sender_selector.h"
#include "steering/peer_loads.h"
#include "steering/peer_table.h"
#include "steering/request_plan.h"
#include "steering/route_table.h"
#include "steering/server_catalogue.h"
#include "steering/service_state.h"
#include "steering/share_selector.h"
#include "steering/store_reader_role.h"

#include <functional>

namespace knapweed::steering {

struct steerer_options {
    core::instance_id instance;
    network_location location;
    /** Share of a region's requests that may move to other regions from one window to the next. */
    double largest_shift = 0.15;
    /** All instances together may send a cold server its rate times this, and some more, in any second. */
    double cold_multiplier = 1.5;
    double cold_slack = 5;
    /** All instances together may repeat this share of the requests of a service, and some more, in any
     * window. */
    double retry_ratio = 0.2;
    double retry_extra = 60;
    core::milliseconds shift_window{2000};
    std::uint64_t seed = 0;
};

/** Decides for each request of callers to which backend server it goes, or why it is refused.

    Sans-I/O: call `begin` when a request's head has been read, follow the step that it returns, and report
   each attempt with `attempt_ended`, until a step other than `send_step` ends the request. Requests go
   straight from the instance that received them to a server. No other instance is asked: bounds on sums over
   all instances are kept as shares that each instance keeps by itself.

    Owned by the gateway; all calls come from its one thread.
*/
class steerer {
public:
    using retry_hook = std::function<void(core::retry_reason)>;

    /** @param time must outlive this object. */
    steerer(steerer_options options, const core::clock& time);

    /** Takes a configuration. @returns false when it is not newer than the one in force, which stays. */
    bool apply(traffic_policy policy);
    [[nodiscard]] const traffic_policy* policy() const;

    [[nodiscard]] server_catalogue& servers() noexcept { return servers_; }
    [[nodiscard]] peer_table& peers() noexcept { return peers_; }
    [[nodiscard]] peer_loads& loads_of_peers() noexcept { return peer_loads_; }
    [[nodiscard]] store_reader_role& store_role() noexcept { return store_role_; }
    /** @returns the requests of this instance that are at backend servers, in the order of their hashes. */
    [[nodiscard]] std::vector<instance_load::entry> own_load() const;
    [[nodiscard]] distance_table& distances() noexcept { return distances_; }

    [[nodiscard]] next_step begin(const request_facts& facts, request_plan& plan);
    [[nodiscard]] next_step attempt_ended(request_plan& plan, backend_server& server,
                                          const attempt_result& result);
    /** The caller left while the request was at the server. */
    void attempt_abandoned(backend_server& server);
    /** A large answer broke off after its head was passed on. */
    void answer_broke_off(backend_server& server);

    /** Calls @p hook whenever a request is sent again. */
    void on_retry(retry_hook hook) { on_retry_ = std::move(hook); }

    /** To be called about every 100 ms. @returns how long the process stood still before, 0 normally. */
    core::duration tick();

    /** @returns requests per second by service that arrive here. */
    [[nodiscard]] std::map<core::service_id, double> demand() const;

private:
    [[nodiscard]] service_state& state_of(const core::service_id& service);
    [[nodiscard]] next_step choose(request_plan& plan);
    [[nodiscard]] next_step send(request_plan& plan, const server_choice& choice);
    [[nodiscard]] next_step retry(request_plan& plan, core::retry_reason reason, bool free_of_budget = false);
    [[nodiscard]] next_step give_up(const request_plan& plan, core::refusal_reason refusal,
                                    core::duration shortest_wait);
    [[nodiscard]] choice_request make_choice_request(const request_plan& plan);
    [[nodiscard]] std::vector<server_pointer> allowed_servers(const request_plan& plan) const;
    [[nodiscard]] std::size_t remembered_requests() const;
    [[nodiscard]] std::size_t connection_limit(const request_plan& plan) const;
    void share_retries();
    void learn(request_plan& plan, backend_server& server, const attempt_result& result);
    void plan_regions_of(const core::service_id& service, service_state& state);
    [[nodiscard]] double demand_in(const core::service_id& service, const core::region_id& region,
                                   const service_state& state) const;

    steerer_options options_;
    const core::clock& time_;
    core::random_source random_;
    std::unique_ptr<route_table> routes_;
    share_selector shares_;
    server_catalogue servers_;
    peer_table peers_;
    peer_loads peer_loads_;
    store_reader_role store_role_;
    cold_sender_selector cold_senders_;
    distance_table distances_;
    decision::retry_budget retries_;
    std::unordered_map<core::service_id, service_state> services_;
    std::unordered_map<std::string, double> answer_kilobytes_; ///< expected, by route
    retry_hook on_retry_;
    core::time_point last_tick_;
    core::time_point last_plan_{};
};

} // namespace knapweed::steering
