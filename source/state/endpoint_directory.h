#pragma once

#include "config.pb.h"
#include "state/membership.h"

#include <set>
#include <vector>

namespace knapweed::state {

struct lookup_endpoint {
    core::instance_id instance;
    std::string address;
};

struct lookup_result {
    std::vector<lookup_endpoint> endpoints; ///< best first
    /** No instance of the client's region is alive, or this instance sees no peer. */
    bool degraded = false;
};

/** Chooses the entry instances that a look-up names.

    Never a leaving or failed one. Order: region of the client first; alive before suspected; data centres
   that run the service first; less loaded first. Loads that differ by less than a factor of 2 count as equal
   and take turns, because reports lag and every look-up would else name the same instance until the next one.

    Driven by its owner: `configure` with each new configuration, `tick` at least every 100 ms.
*/
class endpoint_directory {
public:
    /** @param members must outlive this object.
        @param seed where the turns start, so that instances do not all begin with the same endpoint. */
    endpoint_directory(const membership& members, const core::clock& time, std::uint64_t seed);

    void configure(const wire::configuration& configuration);

    /** Drops the orders computed from load reports that are older than `order_lifetime`. */
    void tick();

    /** @param client_region region of this instance when empty or unknown.
        @returns at most @p limit endpoints. */
    [[nodiscard]] lookup_result lookup_endpoints(const core::service_id& service,
                                                 const core::region_id& client_region, std::size_t limit = 3);

    static constexpr core::milliseconds order_lifetime{100};

private:
    struct ranked_endpoint {
        std::uint64_t cost = 0; ///< lower is better; equals take turns
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
    std::map<core::service_id, std::set<core::data_centre_id>> hosts_;
    std::set<core::region_id> regions_;
    std::map<order_key, endpoint_order> orders_;
    std::uint64_t generation_ = 0;
    core::time_point computed_{};
    std::uint64_t turn_;
};

} // namespace knapweed::state
