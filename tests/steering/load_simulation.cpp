#include "load_simulation.h"

namespace knapweed::test {

experiment::fleet_report simulate_load(const load_scenario& scenario)
{
    using core::milliseconds;
    experiment::deployment description;
    description.length = milliseconds(20000);
    auto& service = description.service;
    service.object_affinity = scenario.object_affinity;
    service.slots = 4;
    service.queue = 12;
    service.objects = 104;
    service.cached_requests = 72;
    service.cached_run_time = milliseconds(72);
    service.fetch_run_time = milliseconds(240);
    service.target = milliseconds(200);
    service.timeout = milliseconds(800);
    service.time_limit = milliseconds(800);
    service.late_worth = 0.23 / 1.2;
    for (const auto& [name, servers] : {std::pair{"ra", 8}, std::pair{"rb", 8}, std::pair{"rc", 2}}) {
        experiment::region_shape region;
        region.name = name;
        region.instances = 3;
        region.servers = servers;
        region.requests_per_second = scenario.requests_per_second / 3;
        description.regions.push_back(region);
    }
    return experiment::simulate(description, scenario.seed);
}

} // namespace knapweed::test
