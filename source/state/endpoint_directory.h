#pragma once

#include "config.pb.h"
#include "state/membership.h"

#include <set>
#include <vector>

namespace knapweed::state {

/** An instance that a client can send requests to. */
struct lookup_endpoint {
    core::instance_id instance;
    std::string address;
};

struct lookup_result {
    std::vector<lookup_endpoint> endpoints; ///< best first
    /** True when no instance of the client's region is alive, or when all known peers are silent. */
    bool degraded = false;
};

/** Selects the entry instances that a look-up returns.

    Leaving and failed instances are excluded. The others are ordered by these criteria: region of the client
    first; alive before suspected; data centres that run the service first; less loaded first. Loads between
    the same powers of 2, which differ by less than a factor of 2, are treated as equal, and instances with
    equal loads are rotated. The load reports lag, so otherwise every look-up would return the same instance
    until the next report.

    Call `configure` with each new configuration and `tick` at least every 100 ms.
*/
class endpoint_directory {
public:
    /** @param members must outlive this object.
        @param time must outlive this object.
        @param seed start of the rotation; different seeds prevent all instances from returning the same
        endpoint first. */
    endpoint_directory(const membership& members, const core::clock& time, std::uint64_t seed);

    void configure(const wire::configuration& configuration);

    /** Drops the cached orders when they are older than `order_lifetime` or the membership has changed. */
    void tick();

    /** @param client_region when empty or unknown, the region of this instance is used.
        @returns at most @p limit endpoints, best first. */
    [[nodiscard]] lookup_result lookup_endpoints(const core::service_id& service,
                                                 const core::region_id& client_region, std::size_t limit = 3);

    static constexpr core::milliseconds order_lifetime{100};

private:
    struct ranked_endpoint {
        std::uint64_t cost = 0; ///< lower is better; endpoints of equal cost are rotated
        lookup_endpoint endpoint;
    };
    struct endpoint_order {
        std::vector<ranked_endpoint> endpoints;
        bool degraded = false;
    };
    using order_key = std::pair<core::service_id, core::region_id>;

    [[nodiscard]] endpoint_order compute_order(const core::service_id& service,
                                               const core::region_id& region) const;

    const membership& members_;
    const core::clock& time_;
    std::map<core::service_id, std::set<core::data_centre_id>> data_centres_of_service_;
    std::set<core::region_id> regions_;
    std::map<order_key, endpoint_order> orders_;
    std::uint64_t generation_ = 0;
    core::time_point computed_at_{};
    std::uint64_t rotation_;
};

} // namespace knapweed::state
