#include "steering/server_choice.h"

#include <algorithm>
#include <optional>

namespace knapweed::steering {

namespace {

using milliseconds_d = std::chrono::duration<double, std::milli>;

/** Part of the run time by which a request may miss its target because it waits for a slot. */
constexpr double late_allowance = 0.35;
/** Part of a server's other slots that must be free before it starts a fetch that ends late. Of three or four
   slots this keeps two free; with only one free, the answers on every site are worth less in total. */
constexpr double min_free_share_for_late_fetch = 0.6;
/** A server that has not answered for more than this multiple of the unfamiliar run time, although requests
   are in progress there, is probably stuck or gone. */
constexpr int normal_unanswered_runs = 2;
/** Factor by which a cold server takes longer to run a request. */
constexpr double cold_factor = 2;
/** Extra cost of a failure: the time until the request has been tried at another server. */
constexpr milliseconds_d failure_cost{500};
/** Cost, in waiting time, of sending a kilobyte out of the data centre or region. Links between regions have
   little bandwidth and are shared. */
constexpr milliseconds_d cost_per_kilobyte_same_region{1.5};
constexpr milliseconds_d cost_per_kilobyte_other_region{3.0};
/** Part of the run time by which the costs of similar servers differ. */
constexpr double similar_cost_share = 0.1;
/** Part of the time left that a request may be expected to take; the rest is for errors of the estimate. */
constexpr double usable_time_left = 0.9;

/** A server with the estimates for one request. */
struct scored_server {
    const server_pointer* server = nullptr;
    milliseconds_d expected_time{};
    milliseconds_d wait{};
    milliseconds_d
        cost{}; ///< expected time, plus costs of failures and transfer and the order of similar servers
    bool needs_fetch = false; ///< the server has to fetch the request's object first
    /** Part of the server's other slots that is free while the request runs. For a server with one slot: 1
       minus its occupancy. */
    double free_share = 0;
};

std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 30U;
    value *= 0xbf58476d1ce4e5b9U;
    value ^= value >> 27U;
    value *= 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

milliseconds_d transfer_cost(const choice_request& request, distance server_distance)
{
    switch (server_distance) {
    case distance::same_data_centre:
        return milliseconds_d::zero();
    case distance::same_region:
        return request.answer_kilobytes * cost_per_kilobyte_same_region;
    case distance::other_region:
        break;
    }
    return request.answer_kilobytes * cost_per_kilobyte_other_region;
}

/** @returns the candidate that all instances prefer for the object, or null without an object. */
const backend_server* find_home_server(std::uint64_t object_hash, std::span<const server_pointer> candidates)
{
    if (object_hash == 0)
        return nullptr;
    const backend_server* home = nullptr;
    std::uint64_t highest_weight = 0;
    for (const auto& server : candidates) {
        const auto weight = mix(object_hash ^ server->id_hash());
        if (home == nullptr || weight > highest_weight) {
            home = server.get();
            highest_weight = weight;
        }
    }
    return home;
}

/** @returns the factor by which a server counts as slower because it has not answered for long. */
double unanswered_factor(const choice_request& request, const backend_server& server)
{
    const auto normal = request.longest_run_time * normal_unanswered_runs;
    const auto unanswered = server.unanswered_time();
    return unanswered <= normal
               ? 1
               : std::chrono::duration<double>(unanswered) / std::chrono::duration<double>(normal);
}

/** @returns a cost that orders servers of similar cost for the request, but not those for a large answer:
   there, the transfer decides. */
milliseconds_d order_cost(const choice_request& request, const backend_server& server)
{
    const auto spread = milliseconds_d(request.run_time) * similar_cost_share;
    if (request.answer_kilobytes * cost_per_kilobyte_same_region > spread)
        return milliseconds_d::zero();
    const auto hash =
        mix((request.object_hash != 0 ? request.object_hash : request.random) ^ server.id_hash());
    return spread * (1 - static_cast<double>(hash >> 11U) * 0x1.0p-53);
}

scored_server score(const choice_request& request, const server_pointer& server, bool is_home,
                    const distance_table& distances)
{
    const network_location location{server->record().data_centre, server->region()};
    const bool has_object = request.object_hash != 0;
    const bool familiar = has_object && (is_home || server->objects().contains(request.object_hash));
    milliseconds_d run_time = request.run_time;
    if (has_object)
        run_time = familiar ? request.familiar_run_time : request.unfamiliar_run_time;
    const double slots = server->slots();
    const double queued = std::max(0.0, server->occupancy().total() + 1 - slots);
    const double slowness = std::max(server->speed().slowness(), unanswered_factor(request, *server)) *
                            (server->cold_start().is_cold() ? cold_factor : 1.0);
    scored_server result;
    result.server = &server;
    result.free_share =
        slots > 1 ? (slots - 1 - server->occupancy().total()) / (slots - 1) : 1 - server->occupancy().total();
    result.needs_fetch = has_object && !familiar;
    result.wait = milliseconds_d(request.queued_run_time) * slowness * queued / slots;
    result.expected_time = milliseconds_d(distances.round_trip(location)) + result.wait + run_time * slowness;
    result.cost = result.expected_time + server->failures().failure_share() * failure_cost +
                  transfer_cost(request, distances.to(location)) + order_cost(request, *server);
    return result;
}

bool has_room(const choice_request& request, const scored_server& candidate)
{
    const milliseconds_d run_time = request.run_time;
    const milliseconds_d slack =
        std::max(milliseconds_d::zero(),
                 milliseconds_d(request.time_to_target) - (candidate.expected_time - candidate.wait));
    // A fetch that ends late is worth little, and it occupies a slot several times as long as a request that
    // the server can answer in time.
    if (candidate.needs_fetch && slack == milliseconds_d::zero())
        return candidate.free_share >= min_free_share_for_late_fetch;
    return candidate.wait <= slack + run_time * late_allowance;
}

bool ends_in_time(const choice_request& request, const scored_server& candidate)
{
    return candidate.expected_time <= milliseconds_d(request.time_left) * usable_time_left;
}

/** @returns the time until a server takes a request of this instance: its rest has ended, and it is within
   the limit that it names. */
core::duration wait_to_send(const choice_request& request, const backend_server& server)
{
    const auto rest = server.rest().wait();
    if (!request.limit_wait || !server.limit().per_second())
        return rest;
    return std::max(rest, request.limit_wait(server));
}

} // namespace

std::variant<server_choice, no_choice> choose_server(const choice_request& request,
                                                     std::span<const server_pointer> candidates,
                                                     std::span<const server_pointer> excluded,
                                                     const distance_table& distances)
{
    std::vector<server_pointer> eligible;
    eligible.reserve(candidates.size());
    std::optional<core::duration> shortest_wait; // until the first server that takes none now takes one
    for (const auto& server : candidates) {
        if (server->failures().is_suspended() || !server->cold_start().may_start(request.cold_spacing))
            continue;
        if (request.may_send_to_cold && server->cold_start().is_cold() && !request.may_send_to_cold(*server))
            continue;
        if (std::find(excluded.begin(), excluded.end(), server) != excluded.end())
            continue;
        if (const auto wait = wait_to_send(request, *server); wait > core::duration::zero()) {
            shortest_wait = std::min(shortest_wait.value_or(wait), wait);
            continue;
        }
        eligible.push_back(server);
    }
    if (eligible.empty())
        return shortest_wait ? no_choice{core::refusal_reason::no_free_slot, *shortest_wait} : no_choice{};
    const auto* const home = find_home_server(request.object_hash, eligible);
    std::optional<scored_server> best;
    no_choice refusal{core::refusal_reason::deadline_unmeetable,
                      shortest_wait.value_or(core::duration::max())};
    for (const auto& server : eligible) {
        const auto candidate = score(request, server, server.get() == home, distances);
        const bool in_time = ends_in_time(request, candidate);
        if (in_time && has_room(request, candidate)) {
            if (!best || candidate.cost < best->cost)
                best = candidate;
            continue;
        }
        if (in_time)
            refusal.reason = core::refusal_reason::no_free_slot;
        refusal.shortest_wait =
            std::min(refusal.shortest_wait, std::chrono::duration_cast<core::duration>(candidate.wait));
    }
    if (!best)
        return refusal;
    return server_choice{*best->server, std::chrono::duration_cast<core::duration>(best->expected_time),
                         std::chrono::duration_cast<core::duration>(best->wait), best->server->get() == home};
}

} // namespace knapweed::steering
