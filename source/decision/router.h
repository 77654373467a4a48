#pragma once

#include "config.pb.h"
#include "decision/credit_table.h"
#include "decision/link_budget.h"
#include "decision/node_context.h"
#include "state/shift_limiter.h"

#include <set>
#include <variant>

namespace knapweed::decision {

/** A pool that can accept a request now. */
struct pool_choice {
    core::pool_id pool;
    core::instance_id owner;
    std::string address;  ///< address of the owner
    bool spilled = false; ///< not in the data centre that the weights selected
};

/** Chooses the pool for each request.

    The service's weights, whose changes are limited by the shift cap, select a data centre. When its pool has
    no credit left, or the budget of the link to its region is used up, the request spills to another data
    centre if the shift cap allows it.

    Use: call `configure` with each new configuration, `tick` at least every 10 ms and `heartbeat_received`
    with each heartbeat. Call `sent` before and `finished` after each request that is forwarded to another
    instance.
*/
class router {
public:
    /** @param shared must outlive this object. */
    explicit router(node_context& shared);

    /** Applies a new configuration. */
    void configure(const wire::configuration& configuration);
    /** Recomputes the target weights and moves the weights towards them. */
    void tick();

    /** Stores the credit that a peer grants and, just after the start, the weights that it uses. */
    void heartbeat_received(const core::instance_id& from, const wire::heartbeat& message);

    /** Chooses a pool for a request.
        @param excluded pools that have already refused the request
        @returns a pool, or the reason why none can accept the request now */
    [[nodiscard]] std::variant<pool_choice, core::refusal_reason>
    choose(const core::service_id& service, core::rank rank, const std::set<core::pool_id>& excluded);

    /** Must be called when a request is forwarded to the owner of the pool. Uses one unit of credit. */
    void sent(const core::pool_id& pool, core::rank rank) { credit_.sent(pool, rank); }
    /** Must be called when a forwarded request has ended. Returns the credit and charges the link.
        @param answer_bytes size of the answer, which crossed the link between the regions */
    void finished(const core::pool_id& pool, core::rank rank, std::uint64_t answer_bytes);

    /** Adds the current weights of all services to a heartbeat. */
    void add_weights(wire::heartbeat& message) const;

    /** @returns whether the service is configured. */
    [[nodiscard]] bool has_service(const core::service_id& service) const
    {
        return services_.contains(service);
    }
    /** @returns the weights of a service, or nullptr when it is not configured. */
    [[nodiscard]] const state::shift_limiter* weights(const core::service_id& service) const;
    [[nodiscard]] const credit_table& credit() const { return credit_; }

private:
    /** The weights and data centres of one service. */
    struct service_routing {
        state::shift_limiter limiter;
        std::map<core::data_centre_id, std::uint32_t> slots; ///< slots of the servers that are not drained
    };
    /** A pool that can accept a request, or the reason why it can't. */
    struct candidate_check {
        std::optional<pool_choice> choice;
        core::refusal_reason reason = core::refusal_reason::no_backend_server;
    };

    void set_target(const core::service_id& service, service_routing& routing);
    /** @returns whether the pool has an owner and, as far as reported, usable slots. */
    [[nodiscard]] bool can_serve(const core::pool_id& pool) const;
    [[nodiscard]] candidate_check check(const core::pool_id& pool, core::rank rank,
                                        const std::set<core::pool_id>& excluded) const;
    [[nodiscard]] core::region_id region_of(const core::data_centre_id& data_centre) const;
    void configure_links(const wire::configuration& configuration);

    node_context& shared_;
    credit_table credit_;
    link_budget links_;
    std::map<core::service_id, service_routing> services_;
    std::map<core::data_centre_id, core::region_id> regions_;
    std::set<core::data_centre_id> drained_;
    std::map<core::service_id, std::map<core::instance_id, state::weight_map>> peer_weights_;
    core::time_point next_target_{};
    core::time_point adopt_peer_weights_until_{}; ///< end of the time in which peers' weights are adopted
};

} // namespace knapweed::decision
