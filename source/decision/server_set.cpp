#include "decision/server_set.h"

#include <algorithm>
#include <tuple>

namespace knapweed::decision {

void server_set::configure(const std::vector<pool_server>& servers, core::duration max_run,
                           core::time_point now)
{
    max_run_ = max_run;
    for (auto& [name, slots] : servers_)
        slots.retire();
    for (const auto& server : servers)
        servers_.try_emplace(server.server, server).first->second.configure(server, max_run);
    tick(now);
    apply_shares();
}

void server_set::tick(core::time_point now)
{
    for (auto& [name, slots] : servers_)
        slots.tick(now);
    std::erase_if(servers_,
                  [](const auto& entry) { return entry.second.retired() && entry.second.occupied() == 0; });
}

void server_set::take_over(core::time_point now)
{
    for (auto& [name, slots] : servers_)
        slots.assume_occupied(std::nullopt, now);
}

void server_set::accept(const wire::hand_over_pool& counts, core::time_point now)
{
    for (const auto& server_count : counts.servers()) {
        if (auto* slots = find(core::server_id{server_count.backend_server()}))
            slots->assume_occupied(server_count.occupied(), now);
    }
}

void server_set::export_counts(wire::hand_over_pool& counts) const
{
    for (const auto& [name, slots] : servers_) {
        auto* server_count = counts.add_servers();
        server_count->set_backend_server(name.str());
        server_count->set_occupied(slots.occupied());
    }
}

void server_set::dispute(std::uint32_t candidates, bool present_owner)
{
    candidates_ = std::max(candidates, 1U);
    present_owner_ = present_owner;
    apply_shares();
}

void server_set::end_dispute(core::time_point now)
{
    if (!disputed())
        return;
    for (auto& [name, slots] : servers_) {
        const auto total = slots.server().slots;
        slots.assume_occupied(total - total / candidates_, now);
    }
    candidates_ = 1;
    apply_shares();
}

server_slots* server_set::pick(core::time_point now, const server_slots* reserved)
{
    server_slots* best = nullptr;
    for (auto& [name, slots] : servers_) {
        if (&slots == reserved || slots.free(now) == 0)
            continue;
        // Servers with equally many runs are used in turn: the one whose last run started earliest is picked.
        if (best == nullptr || std::tuple(slots.running(), slots.last_started()) <
                                   std::tuple(best->running(), best->last_started()))
            best = &slots;
    }
    return best;
}

server_slots* server_set::pick_for_solitary(core::time_point now)
{
    server_slots* best = nullptr;
    for (auto& [name, slots] : servers_) {
        if (!slots.open(now) || slots.usable() == 0)
            continue;
        if (best == nullptr || slots.occupied() < best->occupied())
            best = &slots;
    }
    return best;
}

server_slots* server_set::find(const core::server_id& server)
{
    const auto found = servers_.find(server);
    return found == servers_.end() ? nullptr : &found->second;
}

bool server_set::any_open(core::time_point now) const
{
    return std::any_of(servers_.begin(), servers_.end(),
                       [now](const auto& entry) { return entry.second.open(now); });
}

std::uint32_t server_set::slots() const
{
    std::uint32_t sum = 0;
    for (const auto& [name, slots] : servers_)
        sum += slots.retired() ? 0 : slots.server().slots;
    return sum;
}

std::uint32_t server_set::usable(core::time_point now) const
{
    std::uint32_t sum = 0;
    for (const auto& [name, slots] : servers_)
        sum += slots.open(now) ? slots.usable() : 0;
    return sum;
}

std::uint32_t server_set::running() const
{
    std::uint32_t sum = 0;
    for (const auto& [name, slots] : servers_)
        sum += slots.running();
    return sum;
}

std::uint32_t server_set::free(core::time_point now) const
{
    std::uint32_t sum = 0;
    for (const auto& [name, slots] : servers_)
        sum += slots.free(now);
    return sum;
}

std::vector<core::exchange_id> server_set::overdue(core::time_point now) const
{
    std::vector<core::exchange_id> overdue_runs;
    for (const auto& [name, slots] : servers_) {
        const auto overdue_on_server = slots.overdue(now);
        overdue_runs.insert(overdue_runs.end(), overdue_on_server.begin(), overdue_on_server.end());
    }
    return overdue_runs;
}

void server_set::apply_shares()
{
    // When the share of every server rounds down to 0 slots, the present owner keeps one slot of one server.
    bool needs_minimum = present_owner_;
    for (const auto& [name, slots] : servers_)
        needs_minimum = needs_minimum && slots.server().slots / candidates_ == 0;
    for (auto& [name, slots] : servers_) {
        slots.set_share(candidates_, needs_minimum ? 1 : 0);
        needs_minimum = false;
    }
}

} // namespace knapweed::decision
