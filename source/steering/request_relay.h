#pragma once

#include "steering/link_monitor.h"
#include "steering/relay_selector.h"
#include "steering/request_plan.h"

namespace knapweed::steering {

/** Has other instances send requests to servers while this instance's own paths to the servers are cut.

    Owned by the steerer, which reports every attempt at a server and asks for a relay before it refuses.
*/
class request_relay {
public:
    /** Returns the expected run time of a service's requests, or nothing when it is unknown. */
    using run_time_lookup = std::function<std::optional<core::duration>(const core::service_id&)>;

    /** @param capacity cores that this instance may use. @param servers, @p peers and @p time must outlive
        this object. */
    request_relay(const network_location& own, double capacity, const server_catalogue& servers,
                  const peer_table& peers, const core::clock& time, std::uint64_t seed);

    [[nodiscard]] link_monitor& links() noexcept { return links_; }
    [[nodiscard]] const link_monitor& links() const noexcept { return links_; }

    /** Records what an attempt at a server shows of this instance's paths to the servers. */
    void record_attempt(const backend_server& server, const attempt_result& result);
    /** Looks for servers whose answers are overdue; call it about every 100 ms. */
    void tick(const run_time_lookup& run_time_of);

    /** @returns a step that has another instance send the request, or nothing when no other instance can help
        or the request was relayed to this one. */
    [[nodiscard]] std::optional<relay_step> start(request_plan& plan);
    /** Records how the latest relay of a request ended. */
    void end(request_plan& plan, const relay_result& result);

    /** @returns the number of requests of other instances that this one accepts at the same time. */
    [[nodiscard]] std::size_t max_accepted() const;

private:
    double capacity_;
    const server_catalogue& servers_;
    link_monitor links_;
    relay_selector instances_;
};

} // namespace knapweed::steering
