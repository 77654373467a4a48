#include "gateway/status_codec.h"

#include "instance_status.pb.h"

#include <cmath>

namespace knapweed::gateway {

std::string encode_status(const steering::instance_status& status)
{
    wire::instance_status message;
    message.set_instance(status.instance.str());
    message.set_data_centre(status.at.data_centre.str());
    message.set_region(status.at.region.str());
    message.set_caller_address(status.caller_address);
    message.set_peer_address(status.peer_address);
    message.set_incarnation(status.incarnation.value);
    message.set_sequence(status.sequence);
    message.set_ready(status.ready);
    message.set_leaving(status.leaving);
    for (const auto& [service, rate] : status.demand) {
        auto* demand = message.add_demand();
        demand->set_service(service.str());
        demand->set_requests_per_second(rate);
    }
    return message.SerializeAsString();
}

std::optional<steering::instance_status> decode_status(std::string_view message)
{
    wire::instance_status parsed;
    if (!parsed.ParseFromArray(message.data(), static_cast<int>(message.size())) || parsed.instance().empty())
        return std::nullopt;
    steering::instance_status status;
    status.instance = core::instance_id{parsed.instance()};
    status.at = {core::data_centre_id{parsed.data_centre()}, core::region_id{parsed.region()}};
    status.caller_address = parsed.caller_address();
    status.peer_address = parsed.peer_address();
    status.incarnation = {parsed.incarnation()};
    status.sequence = parsed.sequence();
    status.ready = parsed.ready();
    status.leaving = parsed.leaving();
    for (const auto& demand : parsed.demand()) {
        const double rate = demand.requests_per_second();
        if (std::isfinite(rate) && rate >= 0)
            status.demand[core::service_id{demand.service()}] = rate;
    }
    return status;
}

} // namespace knapweed::gateway
