#pragma once

#include "steering/departed_servers.h"
#include "steering/entry_expiry.h"
#include "steering/evacuation_list.h"
#include "steering/traffic_policy.h"

#include <functional>
#include <memory>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace knapweed::steering {

using server_pointer = std::shared_ptr<backend_server>;

/** @returns the hash of a server's id that identifies it in messages between instances. */
[[nodiscard]] inline std::uint32_t short_hash(const backend_server& server)
{
    return static_cast<std::uint32_t>(server.id_hash());
}

/** The backend servers that registered themselves in the platform's store, and the evacuated data centres.

    Updated with the changes of the store in their order. While the servers of a region can't reach the store,
   their entries expire although they still run. Therefore, when at least half of a service's entries are
   removed from regions that can't reach the store, or couldn't shortly before, their servers stay usable
   until they should have registered again. If fewer are removed, their servers are treated as gone: perhaps
   only instances were cut off from the store, and the entries were removed because their servers left.

    After the store has come back from an older copy of its rows, servers that had joined since are missing
   until they have written their entries again, and those that had left are there again. For a time what was
   known before goes before the list.

    Servers are shared with the requests that are in progress at them.
*/
class server_catalogue {
public:
    /** @param time must outlive this object. */
    explicit server_catalogue(const core::clock& time)
        : time_(time), expiry_(time), evacuations_(time), departed_(time)
    {}

    void set_regions(std::map<core::data_centre_id, core::region_id> regions);
    [[nodiscard]] const std::map<core::data_centre_id, core::region_id>& regions() const { return regions_; }

    /** Adds a server, or updates its record. A record with another start time, service, address or data
     * centre replaces the server by a new one without history. */
    void put(server_record record);
    /** Removes a server, or marks it as missing when its entry may only have expired. One that had begun to
     * leave has left. */
    void remove(const core::server_id& id);
    /** Replaces all records by a complete list of the registered servers. */
    void replace_all(std::vector<server_record> records);

    /** Starts or ends the evacuation of a data centre. After it, the data centre's servers count as cold for
     * the cold time of their service in @p policy, which may be null. */
    void set_evacuated(const core::data_centre_id& data_centre, bool evacuated, const traffic_policy* policy);
    /** Replaces the evacuated data centres by a complete list. */
    void replace_evacuated(const std::set<core::data_centre_id>& data_centres, const traffic_policy* policy);
    [[nodiscard]] bool is_evacuated(const core::data_centre_id& data_centre) const
    {
        return evacuations_.contains(data_centre);
    }

    /** Records that the store has come back from an older copy of its rows. A list of it follows. */
    void store_restored();
    /** Records from which regions the store is reachable; call it before each `tick`. */
    void update_store_paths(const std::function<bool(const core::region_id&)>& is_reachable);
    /** Treats all servers as cold for a time: some may have restarted while this process was stalled. */
    void assume_all_cold(core::duration duration);

    /** Removes servers whose entries were not registered again in time; call it at least every 100 ms.
        @param policy see `set_evacuated`. */
    void tick(const traffic_policy* policy);

    /** @returns the servers of a service that may get requests; some may be suspended or cold. */
    [[nodiscard]] std::vector<server_pointer> usable(const core::service_id& service) const;
    /** @param regions allowed ones; all if empty. */
    [[nodiscard]] std::vector<server_pointer> usable(const core::service_id& service,
                                                     const std::vector<core::region_id>& regions) const;
    /** @returns the server, or null when there is none. */
    [[nodiscard]] server_pointer find(const core::server_id& id) const;
    /** @returns the server with a `short_hash`, or null when there is none. */
    [[nodiscard]] server_pointer find_by_hash(std::uint32_t hash) const;
    void visit(const std::function<void(backend_server&)>& visitor) const;
    [[nodiscard]] std::size_t size() const noexcept { return servers_.size(); }

private:
    /** Removes a server at once. */
    void drop(const core::server_id& id);
    /** Removes a server whose entry was removed. */
    void record_departure(const core::server_id& id);
    void apply_evacuations(const traffic_policy* policy);
    /** @returns whether what was known before the store came back may be newer than what a list of it says.
     */
    [[nodiscard]] bool is_settling() const;
    /** @returns whether a record in a list is older than what is known of the server. */
    [[nodiscard]] bool is_outdated(const server_record& record) const;
    /** Keeps a server that a list lacks if its entry may have been lost, or removes it. */
    void handle_unlisted(const core::server_id& id);
    [[nodiscard]] core::region_id region_of(const core::data_centre_id& data_centre) const;

    const core::clock& time_;
    std::map<core::data_centre_id, core::region_id> regions_;
    std::unordered_map<core::server_id, server_pointer> servers_;
    std::unordered_map<core::service_id, std::vector<server_pointer>> by_service_;
    std::unordered_map<std::uint32_t, server_pointer> by_hash_;
    entry_expiry expiry_;
    /** Servers whose entries were removed but may only have expired, with the time of the removal. */
    std::unordered_map<core::server_id, core::time_point> missing_;
    evacuation_list evacuations_;
    departed_servers departed_;
    std::optional<core::time_point> restored_at_; ///< when the store came back from an older copy
    /** Servers that joined shortly before and are missing in the copy. */
    std::unordered_set<core::server_id> unconfirmed_;
    /** Records of the copy that are older than what was known. */
    std::unordered_map<core::server_id, server_record> outdated_records_;
};

} // namespace knapweed::steering
