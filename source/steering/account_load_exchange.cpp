#include "steering/account_load_exchange.h"

#include <algorithm>

namespace knapweed::steering {

namespace {

/** Several messages may be lost before a source counts as silent. */
constexpr core::milliseconds current_for{1200};
/** Time after which the load of a silent source is forgotten. Its part of a quota is used by nobody until
 * then. */
constexpr core::milliseconds remembered_for{15000};

void add(std::map<std::uint32_t, accounts::account_load>& total,
         const std::vector<accounts::account_load>& loads)
{
    for (const auto& load : loads) {
        auto& sum = total[load.account];
        sum = {load.account, sum.demand + load.demand, sum.admitted + load.admitted};
    }
}

std::vector<accounts::account_load> to_list(const std::map<std::uint32_t, accounts::account_load>& total)
{
    std::vector<accounts::account_load> loads;
    loads.reserve(total.size());
    for (const auto& [account, load] : total)
        loads.push_back(load);
    return loads;
}

} // namespace

account_load_exchange::account_load_exchange(core::instance_id own, core::region_id region,
                                             const peer_table& peers, const peer_fanout& fanout,
                                             const core::clock& time)
    : own_(std::move(own)), region_(std::move(region)), peers_(peers), fanout_(fanout), time_(time)
{}

void account_load_exchange::receive(const account_load_message& message)
{
    if (message.instance == own_)
        return;
    const auto [known, is_new] =
        sources_.try_emplace({message.instance, message.scope}, source{message, time_.now()});
    auto& latest = known->second.latest;
    const bool is_newer =
        std::pair(message.incarnation, message.sequence) > std::pair(latest.incarnation, latest.sequence);
    if (!is_new && is_newer)
        known->second = {message, time_.now()};
}

bool account_load_exchange::is_current(const source& candidate) const
{
    return time_.now() - candidate.received_at < current_for;
}

account_load_exchange::sums account_load_exchange::sum_of_instances() const
{
    sums total;
    for (const auto& [key, known] : sources_) {
        const bool counts = peers_.is_full_mesh() || known.latest.region == region_;
        if (key.second == load_scope::instance && counts)
            add(total, known.latest.loads);
    }
    return total;
}

void account_load_exchange::add_regions(sums& total) const
{
    // Of a region whose hub has changed, only the latest sums count.
    std::map<core::region_id, const source*> latest;
    for (const auto& [key, known] : sources_) {
        if (key.second != load_scope::region || known.latest.region == region_)
            continue;
        auto& newest = latest[known.latest.region];
        if (newest == nullptr || newest->received_at < known.received_at)
            newest = &known;
    }
    for (const auto& [region, known] : latest)
        add(total, known->latest.loads);
}

const account_load_exchange::source* account_load_exchange::fleet_message() const
{
    const source* newest = nullptr;
    for (const auto& [key, known] : sources_) {
        if (key.second == load_scope::fleet && known.latest.region == region_ &&
            (newest == nullptr || newest->received_at < known.received_at))
            newest = &known;
    }
    return newest;
}

std::vector<account_load_exchange::outgoing_message>
account_load_exchange::next_messages(const std::vector<accounts::account_load>& own)
{
    std::vector<outgoing_message> messages;
    const auto add_message = [&](load_scope scope, std::vector<accounts::account_load> loads,
                                 std::vector<std::string> receivers) {
        if (!receivers.empty())
            messages.push_back({{own_, {}, 0, scope, region_, std::move(loads)}, std::move(receivers)});
    };
    if (peers_.is_full_mesh()) {
        add_message(load_scope::instance, own, peers_.peer_addresses());
    }
    else if (fanout_.is_hub()) {
        auto total = sum_of_instances();
        add(total, own);
        std::vector<std::string> hubs;
        peers_.visit_live(peer_table::live_timeout, [&](const instance_status& status) {
            if (status.region_sum && status.location.region != region_)
                hubs.push_back(status.peer_address);
        });
        add_message(load_scope::region, to_list(total), std::move(hubs));
        add_regions(total);
        add_message(load_scope::fleet, to_list(total), peers_.peer_addresses_in(region_));
    }
    else if (!fanout_.hub_address().empty()) {
        add_message(load_scope::instance, own, {fanout_.hub_address()});
        last_sent_ = own;
    }
    return messages;
}

std::optional<std::vector<accounts::account_load>> account_load_exchange::others() const
{
    if (peers_.known_peers() == 0)
        return std::vector<accounts::account_load>();
    if (peers_.is_full_mesh() || fanout_.is_hub()) {
        std::size_t known_instances = 0;
        std::size_t silent_instances = 0;
        for (const auto& [key, known] : sources_) {
            if (key.second != load_scope::instance)
                continue;
            ++known_instances;
            silent_instances += is_current(known) ? 0 : 1;
        }
        const auto expected = peers_.is_full_mesh() ? peers_.known_peers() : peers_.known_peers_in(region_);
        // This instance is probably the one that is cut off.
        if ((expected > 0 && known_instances == 0) || silent_instances * 2 > known_instances)
            return std::nullopt;
        auto total = sum_of_instances();
        add_regions(total);
        return to_list(total);
    }
    const auto* fleet = fleet_message();
    if (fleet == nullptr || !is_current(*fleet))
        return std::nullopt;
    sums total;
    add(total, fleet->latest.loads);
    for (const auto& load : last_sent_) {
        auto& sum = total[load.account];
        sum.account = load.account;
        sum.demand = std::max(0.0, sum.demand - load.demand);
        sum.admitted = std::max(0.0, sum.admitted - load.admitted);
    }
    return to_list(total);
}

void account_load_exchange::tick()
{
    std::erase_if(sources_, [this](const auto& entry) {
        return time_.now() - entry.second.received_at >= remembered_for;
    });
}

} // namespace knapweed::steering
