#include "steering/peer_fanout.h"

#include "steering/peer_loads.h"

#include <algorithm>

namespace knapweed::steering {

namespace {

/** A new instance sends its status to all instances for this time, so that those of other regions count it.
 */
constexpr core::milliseconds announcement_time{3000};
/** Several status intervals: after this time a new instance knows the others of its region. */
constexpr core::milliseconds settling_time{1500};
/** Interval of load messages to and from the hub of the region. */
constexpr core::milliseconds min_hub_interval{60};
/** Maximum number of load messages that a hub receives per second, and sends. */
constexpr double max_hub_messages_per_second = 1100;

} // namespace

peer_fanout::peer_fanout(core::instance_id own, core::region_id region, double capacity,
                         const peer_table& peers, const core::clock& time)
    : own_(std::move(own)), region_(std::move(region)), capacity_(capacity), peers_(peers), time_(time),
      created_(time.now())
{}

peer_fanout::rank peer_fanout::rank_of(const core::instance_id& instance, double capacity)
{
    return {-capacity, core::hash_text(instance.str())};
}

void peer_fanout::tick(bool leaving)
{
    leaving_ = leaving;
    hub_address_.clear();
    std::optional<rank> lowest;
    if (!leaving)
        lowest = rank_of(own_, capacity_);
    peers_.visit_live(peer_table::live_timeout, [&](const instance_status& status) {
        const auto candidate = rank_of(status.instance, status.capacity);
        if (status.location.region != region_ || status.leaving || (lowest && candidate >= *lowest))
            return;
        lowest = candidate;
        hub_address_ = status.peer_address;
    });
    const bool ranks_first = !leaving && hub_address_.empty();
    if (!ranks_first)
        hub_since_.reset();
    else if (!hub_since_)
        hub_since_ = time_.now();
}

bool peer_fanout::is_hub() const
{
    return !peers_.is_full_mesh() && hub_since_ && time_.now() - *hub_since_ >= settling_time;
}

std::vector<std::string> peer_fanout::status_receivers() const
{
    const bool is_new = time_.now() - created_ < announcement_time;
    const bool to_all = peers_.is_full_mesh() || leaving_ || is_new || is_hub();
    return to_all ? peers_.peer_addresses() : peers_.peer_addresses_in(region_);
}

bool peer_fanout::is_region_mesh() const
{
    return peers_.known_peers_in(region_) <= peer_table::max_full_mesh_peers;
}

core::duration peer_fanout::load_interval() const
{
    const auto same_region = peers_.known_peers_in(region_);
    if (peers_.is_full_mesh())
        return steering::load_interval(same_region, peers_.known_peers() - same_region);
    if (is_region_mesh())
        return steering::load_interval(same_region, 0);
    const std::chrono::duration<double> interval(static_cast<double>(same_region) /
                                                 max_hub_messages_per_second);
    return std::max<core::duration>(std::chrono::duration_cast<core::duration>(interval), min_hub_interval);
}

load_message_plan peer_fanout::next_load_message(std::uint64_t round) const
{
    load_message_plan plan;
    plan.is_due = round % load_rounds_per_far_message == 0;
    if (peers_.is_full_mesh()) {
        plan.own_load = plan.is_due ? peers_.peer_addresses() : peers_.peer_addresses_in(region_);
        return plan;
    }
    if (is_region_mesh())
        plan.own_load = peers_.peer_addresses_in(region_);
    else if (is_hub())
        plan.region_sum = peers_.peer_addresses_in(region_);
    else if (!hub_address_.empty())
        plan.own_load.push_back(hub_address_);
    if (is_hub() && plan.is_due) {
        const auto far = peers_.peer_addresses_outside(region_);
        plan.region_sum.insert(plan.region_sum.end(), far.begin(), far.end());
    }
    return plan;
}

} // namespace knapweed::steering
