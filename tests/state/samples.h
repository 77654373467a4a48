#pragma once

#include "state/state.h"

namespace knapweed::tests {

/** @returns a valid configuration: regions r1 and r2, data centres a1, a2 in r1 and b1 in r2, one service. */
inline wire::configuration sample_configuration(std::uint64_t version)
{
    wire::configuration configuration;
    configuration.set_version(version);
    for (const auto& [name, region] : {std::pair{"a1", "r1"}, std::pair{"a2", "r1"}, std::pair{"b1", "r2"}}) {
        auto& data_centre = *configuration.add_data_centres();
        data_centre.set_name(name);
        data_centre.set_region(region);
    }
    auto& service = *configuration.add_services();
    service.set_name("orders");
    service.set_max_run_ms(5000);
    service.set_shift_cap_permille(200);
    service.set_shift_window_ms(10000);
    auto& server = *service.add_backend_servers();
    server.set_name("s1");
    server.set_data_centre("a1");
    server.set_address("127.0.0.1:9001");
    server.set_slots(3);
    server.set_connections(360);
    auto& policy = *configuration.add_ranks();
    policy.set_rank("bulk");
    policy.set_floor_permille(50);
    auto& link = *configuration.add_links();
    link.set_region_a("r1");
    link.set_region_b("r2");
    link.set_bytes_per_second(35'000'000);
    return configuration;
}

/** @returns the options of an instance with incarnation 1000. */
inline state::membership_options sample_options(const std::string& name,
                                                const std::string& data_centre = "a1",
                                                const std::string& region = "r1")
{
    state::membership_options options;
    options.instance = core::instance_id{name};
    options.incarnation = {1000};
    options.data_centre = core::data_centre_id{data_centre};
    options.region = core::region_id{region};
    options.address = "127.0.0.1:7000";
    return options;
}

/** Passes a heartbeat of another instance to @p members.
    @returns whether it was accepted. */
inline bool receive_heartbeat(state::membership& members, const std::string& name,
                              const std::string& data_centre = "a1", const std::string& region = "r1",
                              std::uint64_t incarnation = 1, std::uint32_t load = 0, bool leaving = false)
{
    wire::instance_ref from;
    from.set_instance(name);
    from.set_incarnation(incarnation);
    wire::heartbeat message;
    message.set_data_centre(data_centre);
    message.set_region(region);
    message.set_address("127.0.0.1:1" + std::to_string(name.size()));
    message.set_requests_in_progress(load);
    message.set_state(leaving ? wire::leaving : wire::alive);
    return members.heartbeat_received(from, message);
}

/** @returns an entry of the platform's list. */
inline state::listed_instance listed(const std::string& name, const std::string& data_centre = "a1",
                                     const std::string& region = "r1", bool leaving = false)
{
    return {core::instance_id{name}, "127.0.0.1:7001", core::data_centre_id{data_centre},
            core::region_id{region}, leaving};
}

/** Advances the clock in steps of 100 ms and calls `tick` after each step, as the decision thread does. */
inline void run_for(core::simulated_clock& time, state::membership& members, core::milliseconds duration)
{
    constexpr core::milliseconds step{100};
    for (core::milliseconds passed{0}; passed < duration; passed += step) {
        time.advance(step);
        members.tick();
    }
}

} // namespace knapweed::tests
