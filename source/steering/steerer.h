#pragma once

#include "steering/account_load_exchange.h"
#include "steering/answer_estimates.h"
#include "steering/cold_sender_selector.h"
#include "steering/copy_source_selector.h"
#include "steering/peer_fanout.h"
#include "steering/peer_loads.h"
#include "steering/peer_table.h"
#include "steering/region_planner.h"
#include "steering/request_quarantine.h"
#include "steering/request_relay.h"
#include "steering/retry_allowance.h"
#include "steering/route_table.h"
#include "steering/server_catalogue.h"
#include "steering/server_limits.h"
#include "steering/server_notices.h"
#include "steering/service_table.h"
#include "steering/share_selector.h"
#include "steering/store_reader_role.h"

#include <functional>

namespace knapweed::steering {

/** Identity of the instance, and the limits that apply to all instances together. */
struct steerer_options {
    core::instance_id instance;
    network_location location;
    double capacity = 1; ///< cores that the instance may use
    /** Share of a region's requests that may move to other regions from one window to the next. */
    double largest_shift = 0.15;
    /** In any second, all instances together may send a cold server at most its cold rate (requests per
     * second) times `cold_multiplier`, plus `cold_slack` requests. */
    double cold_multiplier = 1.5;
    double cold_slack = 5;
    /** In any window, all instances together may repeat at most this share of a service's requests, plus
     * `retry_extra` requests. */
    double retry_ratio = 0.2;
    double retry_extra = 60;
    /** In any window, all instances together may run this much more of an account's requests than its quota
     * allows. */
    accounts::quota_margin quota_margin{0.1, 20};
    core::milliseconds shift_window{2000};
    std::uint64_t seed = 0;
};

/** Chooses the backend server for each request of a caller, or the reason to refuse the request.

    This class does no I/O. Call `begin` when the head of a request has been read, carry out the step that it
   returns, and report each attempt with `attempt_ended` and each relay with `relay_ended`, until another step
   ends the request. An instance sends each request that it receives directly to a server, without a message
   to other instances: limits on sums over all instances are split into shares, and each instance stays within
   its share. Only while its own paths to all servers are cut, another instance sends the request; that
   instance counts the request as its own and never relays it again.

    Owned by the gateway, which makes all calls from its only thread.
*/
class steerer {
public:
    using retry_hook = std::function<void(core::retry_reason)>;

    /** @param time must outlive this object. */
    steerer(steerer_options options, const core::clock& time);

    /** Applies a configuration. @returns false, without a change, if it doesn't supersede the current one. */
    bool apply(traffic_policy policy);
    /** @returns the current configuration, or null before the first. */
    [[nodiscard]] const traffic_policy* policy() const;

    [[nodiscard]] server_catalogue& servers() noexcept { return servers_; }
    [[nodiscard]] peer_table& peers() noexcept { return peers_; }
    [[nodiscard]] peer_loads& loads_of_peers() noexcept { return peer_loads_; }
    [[nodiscard]] store_reader_role& store_role() noexcept { return store_role_; }
    [[nodiscard]] copy_source_selector& copy_sources() noexcept { return copy_sources_; }
    [[nodiscard]] const peer_fanout& fanout() const noexcept { return fanout_; }
    /** @returns the number of this instance's requests in progress at each backend server, sorted by the hash
     * of the server's id. */
    [[nodiscard]] std::vector<instance_load::entry> own_load() const;
    [[nodiscard]] distance_table& distances() noexcept { return distances_; }
    [[nodiscard]] link_monitor& links() noexcept { return relay_.links(); }
    [[nodiscard]] request_quarantine& quarantine() noexcept { return quarantine_; }
    [[nodiscard]] server_limits& limits() noexcept { return limits_; }
    [[nodiscard]] server_notices& notices() noexcept { return notices_; }
    [[nodiscard]] const accounts::quota_limiter& quotas() const noexcept { return quotas_; }
    [[nodiscard]] account_load_exchange& account_loads() noexcept { return account_loads_; }

    /** Starts a request. @param plan is filled in; pass it to each `attempt_ended` of the request. */
    [[nodiscard]] next_step begin(const request_facts& facts, request_plan& plan);
    /** Records how an attempt at @p server ended. @returns the next step of the request. */
    [[nodiscard]] next_step attempt_ended(request_plan& plan, backend_server& server,
                                          const attempt_result& result);
    /** Records how the relay of a request ended, the latest one in the plan. @returns the next step of the
       request. */
    [[nodiscard]] next_step relay_ended(request_plan& plan, const relay_result& result);
    /** Records that the caller closed its connection while its request was relayed. */
    void relay_abandoned(request_plan& plan);
    /** @returns the number of requests of other instances that this one accepts at the same time. */
    [[nodiscard]] std::size_t max_relayed_requests() const { return relay_.max_accepted(); }
    /** Records that the caller closed its connection while the request was at the server. */
    void attempt_abandoned(backend_server& server);
    /** Records that a large answer ended early, after its head was sent to the caller. */
    void answer_broke_off(backend_server& server);

    /** Calls @p hook whenever a request is sent again. */
    void on_retry(retry_hook hook) { on_retry_ = std::move(hook); }

    /** Runs periodic tasks; call it about every 100 ms. @returns how long the process had stalled, or 0. */
    core::duration tick();

    /** @returns the requests per second that arrive at this instance, by service. */
    [[nodiscard]] std::map<core::service_id, double> demand() const { return services_.demand(); }
    /** @returns the sums over this instance's region, as far as this instance knows them. */
    [[nodiscard]] region_summary region_sum() const;

private:
    /** Finds the account of a request and the regions that it may run in. @returns a refusal if it may not
     * run. */
    [[nodiscard]] std::optional<refuse_step> authorise(std::string_view api_key, request_plan& plan) const;
    [[nodiscard]] service_state& state_of(const request_plan& plan);
    [[nodiscard]] next_step choose(request_plan& plan);
    [[nodiscard]] next_step send(request_plan& plan, const server_choice& choice);
    [[nodiscard]] next_step retry(request_plan& plan, core::retry_reason reason,
                                  bool exempt_from_budget = false);
    /** @returns a refusal, or a failure with unknown outcome when an attempt may have run. */
    [[nodiscard]] next_step refuse_or_fail(const request_plan& plan, core::refusal_reason refusal,
                                           core::duration shortest_wait);
    /** @returns the shortest round trip to the data centres of a region. */
    [[nodiscard]] core::duration round_trip_to(const core::region_id& region) const;
    /** @returns the region whose servers are asked first. */
    [[nodiscard]] core::region_id region_for(const request_plan& plan, service_state& state);
    void update_quotas();
    [[nodiscard]] choice_request make_choice_request(const request_plan& plan);
    void record_result(request_plan& plan, backend_server& server, const attempt_result& result);

    steerer_options options_;
    const core::clock& time_;
    core::random_source random_;
    std::unique_ptr<route_table> routes_;
    share_selector shares_;
    server_catalogue servers_;
    peer_table peers_;
    peer_loads peer_loads_;
    store_reader_role store_role_;
    copy_source_selector copy_sources_;
    peer_fanout fanout_;
    account_load_exchange account_loads_;
    accounts::quota_limiter quotas_;
    cold_sender_selector cold_senders_;
    distance_table distances_;
    request_relay relay_; ///< has other instances send requests
    region_planner planner_;
    retry_allowance retries_;
    request_quarantine quarantine_;
    server_limits limits_;
    server_notices notices_;
    service_table services_;
    answer_estimates answers_;
    retry_hook on_retry_;
    core::time_point last_tick_;
};

} // namespace knapweed::steering
