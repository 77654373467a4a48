#include "operators/drain_forecast.h"

#include "operators/routing_reports.h"

#include <cmath>
#include <map>

namespace knapweed::operators {

namespace {

/** Sums of weights have rounding errors; a remaining share below this needs no further window. */
constexpr double rounding_tolerance = 1e-9;

} // namespace

core::milliseconds shift_time(double share, const state::shift_cap& cap, double used)
{
    const double at_once = std::max(cap.share - used, 0.0);
    const double windows = std::ceil((share - at_once) / cap.share - rounding_tolerance);
    return cap.window * static_cast<std::int64_t>(std::max(windows, 0.0));
}

std::vector<drain_forecast> forecast_drain(const wire::configuration& configuration,
                                           const core::data_centre_id& data_centre)
{
    std::string region;
    for (const auto& configured : configuration.data_centres()) {
        if (configured.name() == data_centre.str())
            region = configured.region();
    }
    // Whether a data centre receives a part of the region's traffic before the drain.
    std::map<std::string, bool> has_traffic;
    for (const auto& configured : configuration.data_centres())
        has_traffic[configured.name()] = configured.region() == region &&
                                         (!configured.drained() || configured.name() == data_centre.str());
    std::vector<drain_forecast> forecasts;
    for (const auto& service : configuration.services()) {
        double slots_in_data_centre = 0;
        double slots_in_region = 0;
        for (const auto& server : service.backend_servers()) {
            if (server.drained() || !has_traffic[server.data_centre()])
                continue;
            slots_in_region += server.slots();
            slots_in_data_centre += server.data_centre() == data_centre.str() ? server.slots() : 0;
        }
        if (slots_in_data_centre == 0)
            continue;
        const auto cap = cap_of(service);
        const double share = slots_in_data_centre / slots_in_region;
        forecasts.push_back({core::service_id{service.name()}, share, cap, shift_time(share, cap)});
    }
    return forecasts;
}

} // namespace knapweed::operators
