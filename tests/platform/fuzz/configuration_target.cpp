#include "fuzz/fuzz_target.h"
#include "platform/row_decoder.h"
#include "steering/steerer.h"

using namespace knapweed;

namespace {

constexpr std::chrono::hours longest_time{24};

bool is_bounded(core::milliseconds time)
{
    return std::chrono::abs(time) <= longest_time;
}

void check_times(const steering::traffic_policy& policy)
{
    for (const auto& route : policy.routes)
        fuzz::require(is_bounded(route.timeout) && is_bounded(route.target_latency),
                      "the times of a route are those of a real one");
    for (const auto& [id, service] : policy.services)
        fuzz::require(is_bounded(service.cold_time), "the cold time is that of a real service");
    fuzz::require(is_bounded(policy.limits.header_timeout) && is_bounded(policy.limits.idle_timeout),
                  "the time limits of callers are real ones");
}

void check_accounts(const steering::traffic_policy& policy)
{
    if (!policy.accounts)
        return;
    for (const auto& account : policy.accounts->accounts()) {
        fuzz::require(account.limit.per_second >= 0 && account.limit.burst >= 0,
                      "a quota is a number of requests");
        fuzz::require(account.id.str().find_first_of("\r\n") == std::string::npos,
                      "a name ends no header field");
        for (const auto& key : account.api_keys)
            fuzz::require(policy.accounts->find_by_key(key)->id == account.id, "a key leads to its account");
    }
}

} // namespace

// Guards against a configuration that ends the process, or whose numbers break the steering.
void fuzz::run_input(std::string_view input)
{
    auto decoded = platform::decode_policy(input);
    auto* policy = std::get_if<steering::traffic_policy>(&decoded);
    if (policy == nullptr)
        return;
    check_times(*policy);
    check_accounts(*policy);
    const auto routes = policy->routes;
    const auto services = policy->services;

    const core::data_centre_id data_centre{"kl-a"};
    core::simulated_clock time;
    steering::steerer steerer({core::instance_id{"own"}, {data_centre, core::region_id{"east"}}}, time);
    steerer.servers().set_regions({{data_centre, core::region_id{"east"}}});
    for (const auto& [id, service] : services) {
        steering::server_record record;
        record.id = core::server_id{"of " + id.str()};
        record.service = id;
        record.data_centre = data_centre;
        record.address = "127.0.0.1:9";
        record.remaining_cold_time = core::milliseconds(80);
        steerer.servers().put(record);
    }
    (void)steerer.apply(std::move(*policy));
    constexpr std::size_t tried_routes = 8;
    for (std::size_t i = 0; i < std::min(routes.size(), tried_routes); ++i) {
        for (int request = 0; request < 3; ++request) {
            steering::request_plan plan;
            const auto path = routes[i].prefix + "x/1";
            const auto step =
                steerer.begin({routes[i].host, path, 7, time.now(), core::milliseconds(1000)}, plan);
            (void)step;
            time.advance(core::milliseconds(50));
            (void)steerer.tick();
        }
    }
}
