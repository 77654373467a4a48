#include "operators/routing_reports.h"

#include <algorithm>

namespace knapweed::operators {

namespace {

using nlohmann::json;

double weight_in(const state::weight_map& weights, const core::data_centre_id& data_centre)
{
    const auto found = weights.find(data_centre);
    return found == weights.end() ? 0 : found->second;
}

std::string shift_text(const json& shift)
{
    return std::string{shift["in_progress"].get<bool>() ? "shift in progress" : "no shift in progress"} +
           ", " + percent(shift["used"].get<double>()) + " of the cap of " +
           percent(shift["cap"].get<double>()) + " used in the last " + shift["window_ms"].dump() + " ms";
}

std::string number_or(const json& value, const char* text_for_null)
{
    return value.is_null() ? text_for_null : value.dump();
}

std::string place_text(const json& place)
{
    std::string text = place["data_centre"].get<std::string>() + ": weight " +
                       percent(place["weight"].get<double>()) + ", target " +
                       percent(place["target"].get<double>()) + ", owner " +
                       (place["owner"].is_null() ? "none" : place["owner"].get<std::string>()) +
                       ", usable slots " + number_or(place["usable_slots"], "unknown");
    if (place["credit"].is_null())
        return text + ", own pool";
    text += ", credit";
    for (const auto& [rank, places] : place["credit"].items())
        text += " " + rank + " " + places.dump();
    return text;
}

} // namespace

state::shift_cap cap_of(const wire::service& service)
{
    state::shift_cap cap;
    if (service.shift_cap_permille() > 0)
        cap.share = service.shift_cap_permille() / 1000.0;
    if (service.shift_window_ms() > 0)
        cap.window = core::milliseconds{service.shift_window_ms()};
    return cap;
}

command_answer routing_reports::where(const core::service_id& service,
                                      const std::optional<core::region_id>& from) const
{
    const auto* configured = find(service);
    if (configured == nullptr)
        return unknown_name("service", service.str(), services());
    if (from) {
        if (auto refusal = wrong_region(*from))
            return *refusal;
    }
    const auto& options = node_.shared().options;
    json list = json::array();
    auto shift = shift_of(*configured);
    std::string text = service.str() + " from " + options.region.str() + " by " + options.instance.str() +
                       ": " + shift_text(shift);
    for (const auto& place : places(*configured)) {
        list.push_back({{"data_centre", place.data_centre.str()},
                        {"region", place.region.str()},
                        {"drained", place.drained},
                        {"weight", place.weight},
                        {"target", place.target},
                        {"owner", place.owner ? json(place.owner->str()) : json()},
                        {"usable_slots", place.usable_slots ? json(*place.usable_slots) : json()},
                        {"report_age_ms", age_or_null(place.report_age)},
                        {"credit", credit_of(place, service)}});
        text += "\n" + place_text(list.back());
    }
    return {true,
            {{"service", service.str()},
             {"instance", options.instance.str()},
             {"region", options.region.str()},
             {"shift", std::move(shift)},
             {"data_centres", std::move(list)},
             {"text", std::move(text)}}};
}

command_answer routing_reports::why(const core::service_id& service) const
{
    const auto* configured = find(service);
    if (configured == nullptr)
        return unknown_name("service", service.str(), services());
    const auto all = places(*configured);
    bool region_serves = false;
    for (const auto& place : all) {
        const bool can_serve = !place.drained && place.configured_slots > 0 && place.owner &&
                               (!place.usable_slots || *place.usable_slots > 0);
        region_serves = region_serves || (can_serve && place.region == node_.shared().options.region);
    }
    json list = json::array();
    auto shift = shift_of(*configured);
    std::string text =
        service.str() + " on " + node_.shared().options.instance.str() + ": " + shift_text(shift);
    for (const auto& place : all) {
        json entry = reason_for(place, region_serves);
        entry["data_centre"] = place.data_centre.str();
        entry["weight"] = place.weight;
        entry["target"] = place.target;
        text += "\n" + place.data_centre.str() + " has weight " + percent(place.weight) + ", target " +
                percent(place.target) + ": " + entry["reason"].get<std::string>() + " (" +
                entry["measurement"].get<std::string>() + ")";
        list.push_back(std::move(entry));
    }
    return {true,
            {{"service", service.str()},
             {"shift", std::move(shift)},
             {"data_centres", std::move(list)},
             {"text", std::move(text)}}};
}

std::vector<std::string> routing_reports::services() const
{
    std::vector<std::string> names;
    for (const auto& service : node_.configuration().current().services())
        names.push_back(service.name());
    return names;
}

std::optional<command_answer> routing_reports::wrong_region(const core::region_id& from) const
{
    if (from == node_.shared().options.region)
        return std::nullopt;
    std::vector<std::string> regions;
    for (const auto& data_centre : node_.configuration().current().data_centres())
        regions.push_back(data_centre.region());
    if (std::find(regions.begin(), regions.end(), from.str()) == regions.end())
        return unknown_name("region", from.str(), regions);
    for (const auto* peer : node_.shared().members.by_nearness()) {
        if (peer->region == from && peer->state == state::member_state::alive) {
            return refuse("the weights of region " + from.str() + " are kept by its own instances; ask " +
                          peer->instance.str() + " at " + peer->address);
        }
    }
    return refuse("no instance of region " + from.str() +
                  " sends heartbeats, so its weights are not known here");
}

std::vector<routing_place> routing_reports::places(const wire::service& service) const
{
    const core::service_id name{service.name()};
    const auto* weights = node_.routes().weights(name);
    std::vector<routing_place> list;
    for (const auto& data_centre : node_.configuration().current().data_centres()) {
        routing_place place;
        place.data_centre = core::data_centre_id{data_centre.name()};
        place.region = core::region_id{data_centre.region()};
        place.drained = data_centre.drained();
        bool has_servers = false;
        for (const auto& server : service.backend_servers()) {
            if (server.data_centre() != data_centre.name())
                continue;
            has_servers = true;
            place.configured_slots += server.drained() ? 0 : server.slots();
        }
        if (!has_servers)
            continue;
        if (weights != nullptr) {
            place.weight = weight_in(weights->weights(), place.data_centre);
            place.target = weight_in(weights->target(), place.data_centre);
        }
        add_measurements(place, name);
        list.push_back(std::move(place));
    }
    return list;
}

void routing_reports::add_measurements(routing_place& place, const core::service_id& service) const
{
    const core::pool_id id{service, place.data_centre};
    place.owner = node_.shared().placement.owner_of(id);
    const auto local_pool = node_.pools().pools().find(id);
    if (local_pool != node_.pools().pools().end() && local_pool->second->owned()) {
        place.owned_here = true;
        place.usable_slots = local_pool->second->servers().usable(node_.shared().time.now());
        place.report_age = core::duration{0};
        return;
    }
    const auto& credit = node_.routes().credit();
    place.report_age = credit.report_age(id);
    if (const auto* report = credit.fresh_report(id))
        place.usable_slots = report->slots();
}

json routing_reports::shift_of(const wire::service& service) const
{
    const auto cap = cap_of(service);
    const auto* weights = node_.routes().weights(core::service_id{service.name()});
    return {{"in_progress", weights != nullptr && weights->is_shifting()},
            {"cap", cap.share},
            {"window_ms", cap.window.count()},
            {"used", weights == nullptr ? 0.0 : weights->used_in_window()}};
}

json routing_reports::credit_of(const routing_place& place, const core::service_id& service) const
{
    if (place.owned_here)
        return {};
    const bool same_region = place.region == node_.shared().options.region;
    json credit;
    for (const auto rank : core::all_ranks) {
        credit[std::string{core::name_of(rank)}] =
            node_.routes().credit().available({service, place.data_centre}, rank, same_region);
    }
    return credit;
}

json routing_reports::reason_for(const routing_place& place, bool region_serves) const
{
    const auto slots = std::to_string(place.configured_slots) + " configured slots";
    const auto age = place.report_age ? std::to_string(to_milliseconds(*place.report_age)) + " ms" : "";
    if (place.drained) {
        return {{"reason", "drained"},
                {"measurement",
                 "configuration version " + std::to_string(node_.configuration().version()) + " drains it"}};
    }
    if (place.configured_slots == 0)
        return {{"reason", "no_backend_server"}, {"measurement", "all its backend servers are drained"}};
    if (!place.owner) {
        std::string member_states;
        for (const auto& [instance, member] : node_.shared().members.all()) {
            if (member.data_centre == place.data_centre)
                member_states += " " + instance.str() + "=" + std::string{core::name_of(member.state)};
        }
        return {{"reason", "no_owner"},
                {"measurement",
                 member_states.empty() ? "no instance of it is known" : "its instances:" + member_states}};
    }
    if (place.usable_slots && *place.usable_slots == 0) {
        return {{"reason", "no_usable_slots"},
                {"measurement", "0 of " + slots + " usable by report of age " + age},
                {"report_age_ms", age_or_null(place.report_age)}};
    }
    if (region_serves && place.region != node_.shared().options.region) {
        return {{"reason", "other_region"},
                {"measurement", "in region " + place.region.str() + "; region " +
                                    node_.shared().options.region.str() + " has usable slots"}};
    }
    std::string measurement = slots;
    if (place.usable_slots)
        measurement += ", " + std::to_string(*place.usable_slots) + " usable by report of age " + age;
    else
        measurement += age.empty() ? ", no report yet" : ", last report too old, age " + age;
    return {{"reason", "serves"},
            {"measurement", std::move(measurement)},
            {"report_age_ms", age_or_null(place.report_age)}};
}

const wire::service* routing_reports::find(const core::service_id& service) const
{
    for (const auto& configured : node_.configuration().current().services()) {
        if (configured.name() == service.str())
            return &configured;
    }
    return nullptr;
}

} // namespace knapweed::operators
