#pragma once

#include "config.pb.h"
#include "state/membership.h"

#include <optional>
#include <vector>

namespace knapweed::state {

/** Candidates of a pool and those among them that may still be using it behind a partition. */
struct pool_dispute {
    /** Instances that may use the pool, including silent ones. */
    std::vector<core::instance_id> candidates;
    /** Candidates that have been silent for `suspect_after` and are not known to have left. */
    std::vector<core::instance_id> silent;

    /** @returns whether the pool is disputed; each candidate may then use only slots / candidates. */
    [[nodiscard]] bool is_disputed() const { return !silent.empty(); }
};

/** An instance that keeps a second record of a request next to the owner. */
struct witness {
    core::instance_id instance;
    core::incarnation incarnation;
    std::string address;
};

/** Selects the owner of each pool and the witnesses of requests from the known instances.

    The results depend only on the membership and on the configured regions of the data centres; call
    `configure` with each new configuration.
*/
class placement {
public:
    /** @param members must outlive this object. */
    explicit placement(const membership& members) : members_(members) {}

    void configure(const wire::configuration& configuration);

    /** @returns the instances that can own the pool: those of its data centre that are alive or suspected.
        When all instances of that data centre are known to have left, those of the other data centres of the
        region. While an instance is silent but not known to have left, the other data centres do not take
        over the pool, because during a partition between the data centres both would use all of its slots. */
    [[nodiscard]] std::vector<core::instance_id> candidates(const core::pool_id& pool) const;

    /** @returns the candidate with the highest rendezvous score, or nothing when there is no candidate. */
    [[nodiscard]] std::optional<core::instance_id> owner_of(const core::pool_id& pool) const;

    /** @returns the candidates of the pool and the silent ones among them. A silent candidate is included
        until it has failed and is no longer in the platform's list, until it or the list has announced that
        it leaves, or until it has been silent for 10 s longer than @p max_run, the longest run time of a
        request. */
    [[nodiscard]] pool_dispute disputed(const core::pool_id& pool, core::milliseconds max_run) const;

    /** @returns an alive instance as witness for requests of @p owner, in this order of preference: from
        another data centre of the owner's region, from the owner's data centre, from another region. Nothing
        when there is none.
        @param tie_breaker any number; selects one of several equally suitable instances. */
    [[nodiscard]] std::optional<witness> pick_witness(const member& owner, std::uint64_t tie_breaker) const;

private:
    [[nodiscard]] core::region_id region_of(const core::data_centre_id& data_centre) const;
    using member_list = std::vector<const member*>;

    /** Known instances by data centre and region, valid for one generation of the membership. Without it,
        scanning all instances for each pool or ticket took 18 ms per tick with 1,600 instances and 320
        pools. */
    struct member_index {
        std::uint64_t generation = 0;
        std::map<core::data_centre_id, member_list> by_data_centre;
        std::map<core::region_id, member_list> by_region;
    };

    [[nodiscard]] const member_index& index() const;
    [[nodiscard]] const member_list& members_of(const core::data_centre_id& data_centre) const;
    /** @returns the instances of the other data centres of the region. */
    [[nodiscard]] std::vector<const member*> sibling_members(const core::data_centre_id& data_centre) const;

    const membership& members_;
    std::map<core::data_centre_id, core::region_id> regions_;
    mutable member_index index_;
};

/** @returns whether the instance can be assumed to have stopped: it or the list has announced that it leaves,
    or it has failed and is no longer listed. A silent instance without these signs may still be running
    behind a partition. */
[[nodiscard]] bool is_known_to_have_left(const member& peer);

} // namespace knapweed::state
