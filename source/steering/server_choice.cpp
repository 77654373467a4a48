#include "steering/server_choice.h"

#include <algorithm>
#include <optional>

namespace knapweed::steering {

namespace {

using milliseconds_d = std::chrono::duration<double, std::milli>;

/** Part of the run time by which an answer may miss its target for want of a free slot. */
constexpr double late_allowance = 0.35;
/** Part of a server's other slots that a fetch must leave free when it ends late all the same. Measured with
   one and two slots of three or four: two earn more on all sites. */
constexpr double kept_from_late_fetches = 0.6;
/** A server that owes answers for more than this multiple of an unfamiliar run is probably stuck or gone. */
constexpr int usual_silence = 2;
/** A cold server takes about twice the time. */
constexpr double cold_factor = 2;
/** Extra cost of a failure: the time until the caller has tried again elsewhere. */
constexpr milliseconds_d failure_cost{500};
/** Cost of moving a kilobyte out of the data centre or region, in waiting time: links between regions are
   narrow and shared. */
constexpr milliseconds_d cost_per_kilobyte_same_region{1.5};
constexpr milliseconds_d cost_per_kilobyte_other_region{3.0};
/** Part of the time left that a request may be expected to take; the rest is for errors of the estimate. */
constexpr double usable_time_left = 0.9;

struct scored {
    const server_pointer* server = nullptr;
    milliseconds_d expected{};
    milliseconds_d wait{};
    milliseconds_d cost{}; ///< expected time and preferences
    bool fetches = false;  ///< the server must fetch the request's object first
    double free_share = 0; ///< of the server's other slots, while the request runs
};

std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 30U;
    value *= 0xbf58476d1ce4e5b9U;
    value ^= value >> 27U;
    value *= 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

milliseconds_d transfer_cost(const choice_request& request, distance far)
{
    switch (far) {
    case distance::same_data_centre:
        return milliseconds_d::zero();
    case distance::same_region:
        return request.answer_kilobytes * cost_per_kilobyte_same_region;
    case distance::other_region:
        break;
    }
    return request.answer_kilobytes * cost_per_kilobyte_other_region;
}

/** @returns the server that all instances send the object to first, nothing for a request without an object.
 */
const backend_server* home_of(std::uint64_t object, std::span<const server_pointer> candidates)
{
    if (object == 0)
        return nullptr;
    const backend_server* home = nullptr;
    std::uint64_t highest = 0;
    for (const auto& server : candidates) {
        const auto weight = mix(object ^ server->id_hash());
        if (home == nullptr || weight > highest) {
            home = server.get();
            highest = weight;
        }
    }
    return home;
}

/** @returns the factor by which a server counts as slower because it owes answers for long. */
double silence_factor(const choice_request& request, const backend_server& server)
{
    const auto usual = request.unfamiliar_run_time * usual_silence;
    const auto silence = server.unanswered_time();
    return silence <= usual ? 1
                            : std::chrono::duration<double>(silence) / std::chrono::duration<double>(usual);
}

scored score(const choice_request& request, const server_pointer& server, bool is_home,
             const distance_table& distances)
{
    const network_location at{server->record().data_centre, server->region()};
    const bool has_object = request.object_hash != 0;
    const bool familiar = has_object && (is_home || server->objects().contains(request.object_hash));
    milliseconds_d run = request.run_time;
    if (has_object)
        run = familiar ? request.familiar_run_time : request.unfamiliar_run_time;
    const double slots = server->slots();
    const double ahead = std::max(0.0, server->occupancy().total() + 1 - slots);
    const double slowness = std::max(server->speed().slowness(), silence_factor(request, *server)) *
                            (server->cold_start().is_cold() ? cold_factor : 1.0);
    scored result;
    result.server = &server;
    result.free_share =
        slots > 1 ? (slots - 1 - server->occupancy().total()) / (slots - 1) : 1 - server->occupancy().total();
    result.fetches = has_object && !familiar;
    result.wait = milliseconds_d(request.run_time) * slowness * ahead / slots;
    result.expected = milliseconds_d(distances.round_trip(at)) + result.wait + run * slowness;
    result.cost = result.expected + server->failures().failure_share() * failure_cost +
                  transfer_cost(request, distances.to(at));
    return result;
}

bool has_room(const choice_request& request, const scored& candidate)
{
    const milliseconds_d run = request.run_time;
    const milliseconds_d slack = std::max(milliseconds_d::zero(), milliseconds_d(request.target_left) -
                                                                      (candidate.expected - candidate.wait));
    // A fetch that ends late is worth little and takes several times the slot time of the requests that its
    // server answers in time.
    if (candidate.fetches && slack == milliseconds_d::zero())
        return candidate.free_share >= kept_from_late_fetches;
    return candidate.wait <= slack + run * late_allowance;
}

bool ends_in_time(const choice_request& request, const scored& candidate)
{
    return candidate.expected <= milliseconds_d(request.time_left) * usable_time_left;
}

} // namespace

std::variant<server_choice, no_choice> choose_server(const choice_request& request,
                                                     std::span<const server_pointer> candidates,
                                                     std::span<const server_pointer> excluded,
                                                     const distance_table& distances)
{
    std::vector<server_pointer> able;
    able.reserve(candidates.size());
    for (const auto& server : candidates) {
        if (server->failures().is_suspended() || !server->cold_start().may_start(request.cold_spacing))
            continue;
        if (request.may_send_to_cold && server->cold_start().is_cold() && !request.may_send_to_cold(*server))
            continue;
        if (std::find(excluded.begin(), excluded.end(), server) == excluded.end())
            able.push_back(server);
    }
    if (able.empty())
        return no_choice{};
    const auto* const home = home_of(request.object_hash, able);
    std::optional<scored> best;
    no_choice refused{core::refusal_reason::deadline_unmeetable, core::duration::max()};
    for (const auto& server : able) {
        const auto candidate = score(request, server, server.get() == home, distances);
        const bool in_time = ends_in_time(request, candidate);
        if (in_time && has_room(request, candidate)) {
            if (!best || candidate.cost < best->cost)
                best = candidate;
            continue;
        }
        if (in_time)
            refused.reason = core::refusal_reason::no_free_slot;
        refused.shortest_wait =
            std::min(refused.shortest_wait, std::chrono::duration_cast<core::duration>(candidate.wait));
    }
    if (!best)
        return refused;
    return server_choice{*best->server, std::chrono::duration_cast<core::duration>(best->expected),
                         std::chrono::duration_cast<core::duration>(best->wait), best->server->get() == home};
}

} // namespace knapweed::steering
