#include "fuzz/fuzz_target.h"
#include "gateway/gateway_settings.h"
#include "net/address.h"

using namespace knapweed;

// Guards against a settings file that ends the process, or is accepted with values that break the steering.
void fuzz::run_input(std::string_view input)
{
    const auto read = gateway::parse_gateway_settings(std::string(input));
    if (!read.errors.empty())
        return;
    const auto& settings = read.settings;
    require(!settings.instance.empty() && !settings.data_centre.empty() && !settings.region.empty(),
            "an accepted file names the instance and its place");
    for (const auto* address :
         {&settings.caller_address, &settings.readiness_address, &settings.lookup_address,
          &settings.peer_address, &settings.metrics_address, &settings.store_address})
        require(net::parse_address(*address).has_value(), "an accepted file has all addresses");
    require(settings.grace_period >= std::chrono::seconds(1) &&
                settings.grace_period <= std::chrono::minutes(10),
            "the grace period is in range");
    require(settings.capacity > 0 && settings.capacity <= 1e6, "the capacity is in range");
    require(settings.largest_shift > 0 && settings.largest_shift <= 1, "the shift is in range");
    require(settings.cold_multiplier >= 0.1 && settings.cold_slack >= 0, "the cold limits are in range");
    require(settings.retry_ratio >= 0 && settings.retry_ratio <= 10 && settings.retry_extra >= 0,
            "the retry budget is in range");
    require(settings.log_lines_per_second >= 1 && !settings.data_centres.empty(),
            "lines can be logged and data centres are known");
}
