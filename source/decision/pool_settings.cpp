#include "decision/pool_settings.h"

namespace knapweed::decision {

namespace {

constexpr double permille = 1000;

void add_servers(pool_settings& settings, const wire::service& service)
{
    settings.max_run = core::milliseconds{service.max_run_ms()};
    for (const auto& server : service.backend_servers()) {
        if (server.data_centre() != settings.id.data_centre.str())
            continue;
        settings.servers.push_back({core::server_id{server.name()}, server.address(), server.slots(),
                                    server.connections(), server.drained()});
    }
}

} // namespace

pool_settings pool_settings_of(const wire::configuration& configuration, const core::pool_id& id)
{
    pool_settings settings;
    settings.id = id;
    for (const auto& service : configuration.services()) {
        if (service.name() == id.service.str())
            add_servers(settings, service);
    }
    for (const auto& policy : configuration.ranks()) {
        if (const auto rank = core::parse_name<core::rank>(policy.rank()))
            settings.ranks[core::index_of(*rank)] = {policy.floor_permille() / permille,
                                                     policy.queue_per_slot_permille() / permille};
    }
    return settings;
}

} // namespace knapweed::decision
