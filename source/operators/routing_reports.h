#pragma once

#include "decision/entry_node.h"
#include "operators/command_answer.h"

namespace knapweed::operators {

/** State of one data centre as a destination for a service's requests, as seen by one instance. */
struct routing_place {
    core::data_centre_id data_centre;
    core::region_id region;
    bool drained = false;
    std::uint32_t configured_slots = 0; ///< of the servers that are not drained
    double weight = 0;
    double target = 0;
    std::optional<core::instance_id> owner;    ///< of the pool
    bool owned_here = false;                   ///< this instance owns the pool, so the counts are exact
    std::optional<std::uint32_t> usable_slots; ///< nothing when there is no recent report
    std::optional<core::duration> report_age;  ///< nothing when no report has arrived
};

/** Answers the commands `where SERVICE` and `why SERVICE` from the weights and measurements of one instance.

    Each instance has its own weights, which differ between regions, so the answers contain the instance's
    name.
*/
class routing_reports {
public:
    /** @param node must outlive this object. */
    explicit routing_reports(const decision::entry_node& node) : node_(node) {}

    /** @param from region of the clients; the command is refused when it is not the region of this instance,
        because only the weights of this instance can be reported. */
    [[nodiscard]] command_answer where(const core::service_id& service,
                                       const std::optional<core::region_id>& from) const;
    [[nodiscard]] command_answer why(const core::service_id& service) const;

    [[nodiscard]] std::vector<std::string> services() const;

private:
    [[nodiscard]] std::optional<command_answer> wrong_region(const core::region_id& from) const;
    [[nodiscard]] std::vector<routing_place> places(const wire::service& service) const;
    void add_measurements(routing_place& place, const core::service_id& service) const;
    [[nodiscard]] nlohmann::json shift_of(const wire::service& service) const;
    [[nodiscard]] nlohmann::json credit_of(const routing_place& place, const core::service_id& service) const;
    [[nodiscard]] nlohmann::json reason_for(const routing_place& place, bool region_serves) const;
    [[nodiscard]] const wire::service* find(const core::service_id& service) const;

    const decision::entry_node& node_;
};

/** @returns the cap of a service, with the defaults of `state::shift_cap` for values that are not set. */
[[nodiscard]] state::shift_cap cap_of(const wire::service& service);

} // namespace knapweed::operators
