#pragma once

#include "stand_ins/http/http_client.h"

namespace knapweed::stand_ins {

/** Answer of a look-up, which a caller caches for its time to live. */
struct look_up {
    std::vector<tcp::endpoint> endpoints;
    std::string ticket;
    core::time_point expires;
};

/** Parses an answer of `GET /v1/lookup`.

    @returns nothing when the answer is malformed or has no valid endpoint.
*/
[[nodiscard]] std::optional<look_up> parse_look_up(const nlohmann::json& answer, core::time_point now);

/** Cache of the look-ups of all callers, by caller and service. */
class look_up_cache {
public:
    /** @param entries are the entry instances, tried in turn from one that depends on the caller. */
    look_up_cache(http_client& client, const core::clock& clock, std::vector<tcp::endpoint> entries);

    /** Looks the service up for the caller, unless an unexpired look-up is cached.

        @returns nothing when no entry instance returns a valid look-up.
    */
    asio::awaitable<std::optional<look_up>> find(std::string caller, std::string service);

    /** Replaces the ticket of a cached look-up; does nothing when there is none. */
    void replace_ticket(const std::string& caller, const std::string& service, const std::string& ticket);
    void remove(const std::string& caller, const std::string& service);

private:
    http_client* client_;
    const core::clock* clock_;
    std::vector<tcp::endpoint> entries_;
    std::map<std::pair<std::string, std::string>, look_up> look_ups_;
};

} // namespace knapweed::stand_ins
