#pragma once

#include "steering/steering.h"

namespace knapweed::test {

inline const core::service_id orders{"orders"};
inline const core::region_id near_region{"near"};
inline const core::region_id far_region{"far"};

/** @returns a policy with one route for `orders`: shop.example/orders/. */
inline steering::traffic_policy sample_policy(std::uint64_t version = 1)
{
    steering::route orders_route;
    orders_route.name = "r-orders";
    orders_route.host = "shop.example";
    orders_route.prefix = "/orders/";
    orders_route.idempotent = true;
    orders_route.urgency = 1;
    orders_route.timeout = core::milliseconds(800);
    orders_route.target_latency = core::milliseconds(300);
    orders_route.max_attempts = 2;
    orders_route.shares = {{orders, 1}};
    steering::traffic_policy policy;
    policy.version = version;
    policy.routes = {orders_route};
    policy.services[orders] = {360, core::milliseconds(3000), 9.7};
    return policy;
}

/** @returns the record of a server of `orders` with three slots. */
inline steering::server_record sample_server(const std::string& id, const std::string& data_centre = "near-a")
{
    steering::server_record record;
    record.id = core::server_id{id};
    record.service = orders;
    record.data_centre = core::data_centre_id{data_centre};
    record.address = "127.0.0.1:9001";
    record.slots = 3;
    return record;
}

inline std::map<core::data_centre_id, core::region_id> sample_regions()
{
    return {{core::data_centre_id{"near-a"}, near_region},
            {core::data_centre_id{"near-b"}, near_region},
            {core::data_centre_id{"far-a"}, far_region}};
}

inline steering::network_location sample_location()
{
    return {core::data_centre_id{"near-a"}, near_region};
}

/** A steerer with servers s0, s1, ... in its own data centre, without a policy. */
class steerer_fixture {
public:
    explicit steerer_fixture(int servers = 3) : steerer({core::instance_id{"i1"}, sample_location()}, time)
    {
        steerer.servers().set_regions(sample_regions());
        for (int i = 0; i < servers; ++i)
            steerer.servers().put(sample_server("s" + std::to_string(i)));
    }

    /** Starts a request for shop.example/orders/1. */
    [[nodiscard]] steering::next_step begin(steering::request_plan& plan,
                                            core::milliseconds limit = core::milliseconds(1200))
    {
        return steerer.begin({"shop.example", "/orders/1", 0, time.now(), limit}, plan);
    }

    /** Ends the attempt of a send step with an outcome. */
    [[nodiscard]] steering::next_step end(steering::request_plan& plan, const steering::next_step& step,
                                          steering::attempt_outcome outcome)
    {
        steering::attempt_result result;
        result.outcome = outcome;
        return steerer.attempt_ended(plan, *std::get<steering::send_step>(step).server, result);
    }

    core::simulated_clock time;
    steering::steerer steerer;
};

} // namespace knapweed::test
