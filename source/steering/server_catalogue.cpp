#include "steering/server_catalogue.h"

#include <algorithm>

namespace knapweed::steering {

namespace {

/** Servers and operators have written again what the store lost within this time after its return. */
constexpr core::milliseconds settling_time{2000};
/** The entry of a server that has ended is removed from the copy after this time: three intervals at which
   servers write there, and some more. */
constexpr core::milliseconds outdated_record_lifetime{6000};
/** Copies of the store are younger than this when it comes back from one. */
constexpr core::milliseconds max_copy_age{60000};
/** Cold time of a service that is not in the configuration. */
constexpr core::milliseconds default_cold_time{3000};

core::duration cold_time_of(const traffic_policy* policy, const core::service_id& service)
{
    if (policy == nullptr)
        return default_cold_time;
    const auto found = policy->services.find(service);
    return found == policy->services.end() ? default_cold_time : found->second.cold_time;
}

} // namespace

void server_catalogue::set_regions(std::map<core::data_centre_id, core::region_id> regions)
{
    regions_ = std::move(regions);
}

core::region_id server_catalogue::region_of(const core::data_centre_id& data_centre) const
{
    const auto found = regions_.find(data_centre);
    return found == regions_.end() ? core::region_id{} : found->second;
}

void server_catalogue::put(server_record record)
{
    missing_.erase(record.id);
    unconfirmed_.erase(record.id);
    outdated_records_.erase(record.id);
    const auto found = servers_.find(record.id);
    if (found != servers_.end()) {
        const auto& known = found->second->record();
        const bool same_process = known.started_unix_ms == record.started_unix_ms &&
                                  known.service == record.service && known.address == record.address &&
                                  known.data_centre == record.data_centre;
        if (same_process) {
            found->second->update(std::move(record));
            return;
        }
        drop(record.id);
    }
    const auto id = record.id;
    const auto service = record.service;
    auto region = region_of(record.data_centre);
    auto server = std::make_shared<backend_server>(std::move(record), std::move(region), time_);
    departed_.restore(*server);
    servers_.emplace(id, server);
    by_hash_[short_hash(*server)] = server;
    by_service_[service].push_back(std::move(server));
}

void server_catalogue::drop(const core::server_id& id)
{
    const auto found = servers_.find(id);
    if (found == servers_.end())
        return;
    auto& service_servers = by_service_[found->second->record().service];
    std::erase(service_servers, found->second);
    by_hash_.erase(short_hash(*found->second));
    servers_.erase(found);
    missing_.erase(id);
    unconfirmed_.erase(id);
}

void server_catalogue::record_departure(const core::server_id& id)
{
    if (const auto server = find(id))
        departed_.add(*server);
    drop(id);
}

void server_catalogue::remove(const core::server_id& id)
{
    outdated_records_.erase(id);
    const auto server = find(id);
    if (!server)
        return;
    if (!server->record().leaving && expiry_.is_possible(server->region()))
        missing_.try_emplace(id, time_.now());
    else
        record_departure(id);
}

void server_catalogue::store_restored()
{
    restored_at_ = time_.now();
    evacuations_.hold(settling_time);
}

bool server_catalogue::is_settling() const
{
    return restored_at_ && time_.now() - *restored_at_ < settling_time;
}

bool server_catalogue::is_outdated(const server_record& record) const
{
    const auto known = find(record.id);
    if (!known)
        return departed_.contains(record);
    return record.started_unix_ms != 0 && record.started_unix_ms < known->record().started_unix_ms;
}

void server_catalogue::handle_unlisted(const core::server_id& id)
{
    const bool may_be_lost = is_settling() && time_.now() - find(id)->known_since() < max_copy_age;
    if (may_be_lost)
        unconfirmed_.insert(id);
    else
        remove(id);
}

void server_catalogue::replace_all(std::vector<server_record> records)
{
    std::unordered_set<core::server_id> listed;
    outdated_records_.clear();
    for (auto& record : records) {
        listed.insert(record.id);
        if (is_settling() && is_outdated(record))
            outdated_records_.insert_or_assign(record.id, record);
        else
            put(std::move(record));
    }
    std::vector<core::server_id> gone;
    for (const auto& [id, server] : servers_) {
        if (!listed.contains(id))
            gone.push_back(id);
    }
    for (const auto& id : gone)
        handle_unlisted(id);
}

void server_catalogue::set_evacuated(const core::data_centre_id& data_centre, bool evacuated,
                                     const traffic_policy* policy)
{
    evacuations_.set(data_centre, evacuated);
    apply_evacuations(policy);
}

void server_catalogue::replace_evacuated(const std::set<core::data_centre_id>& data_centres,
                                         const traffic_policy* policy)
{
    evacuations_.replace(data_centres);
    apply_evacuations(policy);
}

void server_catalogue::apply_evacuations(const traffic_policy* policy)
{
    for (const auto& data_centre : evacuations_.apply()) {
        // Servers without traffic become cold, and their entries may not show it yet.
        for (const auto& [id, server] : servers_) {
            if (server->record().data_centre == data_centre)
                server->cold_start().assume_cold(cold_time_of(policy, server->record().service));
        }
    }
}

void server_catalogue::update_store_paths(const std::function<bool(const core::region_id&)>& is_reachable)
{
    std::set<core::region_id> regions{core::region_id{}}; // that of servers in unknown data centres
    for (const auto& [data_centre, region] : regions_)
        regions.insert(region);
    expiry_.update(regions, is_reachable);
}

void server_catalogue::assume_all_cold(core::duration duration)
{
    for (const auto& [id, server] : servers_)
        server->cold_start().assume_cold(duration);
}

void server_catalogue::tick(const traffic_policy* policy)
{
    apply_evacuations(policy);
    departed_.tick();
    std::vector<core::server_id> gone;
    if (!is_settling())
        gone.assign(unconfirmed_.begin(), unconfirmed_.end());
    for (const auto& [id, since] : missing_) {
        if (expiry_.is_over(find(id)->region(), since))
            gone.push_back(id);
    }
    for (const auto& id : gone)
        record_departure(id);
    if (restored_at_ && time_.now() - *restored_at_ >= outdated_record_lifetime) {
        // Their servers are there after all.
        for (auto& [id, record] : std::exchange(outdated_records_, {}))
            put(std::move(record));
    }
}

std::vector<server_pointer> server_catalogue::usable(const core::service_id& service) const
{
    std::vector<server_pointer> result;
    const auto found = by_service_.find(service);
    if (found == by_service_.end())
        return result;
    result.reserve(found->second.size());
    const auto& known = found->second;
    const auto missing = std::count_if(known.begin(), known.end(), [this](const auto& server) {
        return missing_.contains(server->record().id);
    });
    const bool expired_together = 2 * static_cast<std::size_t>(missing) >= known.size();
    for (const auto& server : known) {
        const auto& record = server->record();
        const bool gone = missing > 0 && !expired_together && missing_.contains(record.id);
        if (!gone && !record.leaving && !server->is_replaced() && !is_evacuated(record.data_centre))
            result.push_back(server);
    }
    return result;
}

server_pointer server_catalogue::find_by_hash(std::uint32_t hash) const
{
    const auto found = by_hash_.find(hash);
    return found == by_hash_.end() ? nullptr : found->second;
}

void server_catalogue::visit(const std::function<void(backend_server&)>& visitor) const
{
    for (const auto& [id, server] : servers_)
        visitor(*server);
}

std::vector<server_pointer> server_catalogue::usable(const core::service_id& service,
                                                     const std::vector<core::region_id>& regions) const
{
    auto servers = usable(service);
    if (!regions.empty()) {
        std::erase_if(servers, [&regions](const server_pointer& server) {
            return std::find(regions.begin(), regions.end(), server->region()) == regions.end();
        });
    }
    return servers;
}

server_pointer server_catalogue::find(const core::server_id& id) const
{
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : found->second;
}

} // namespace knapweed::steering
