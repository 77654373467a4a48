#include "gateway/status_codec.h"

#include "instance_status.pb.h"

#include <algorithm>
#include <cmath>

namespace knapweed::gateway {

namespace {

void fill(wire::instance_status& message, const steering::instance_status& status)
{
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
}

steering::instance_status read(const wire::instance_status& message)
{
    steering::instance_status status;
    status.instance = core::instance_id{message.instance()};
    status.at = {core::data_centre_id{message.data_centre()}, core::region_id{message.region()}};
    status.caller_address = message.caller_address();
    status.peer_address = message.peer_address();
    status.incarnation = {message.incarnation()};
    status.sequence = message.sequence();
    status.ready = message.ready();
    status.leaving = message.leaving();
    for (const auto& demand : message.demand()) {
        const double rate = demand.requests_per_second();
        if (std::isfinite(rate) && rate >= 0)
            status.demand[core::service_id{demand.service()}] = rate;
    }
    return status;
}

steering::instance_load read(const wire::instance_load& message)
{
    steering::instance_load load;
    load.instance = core::instance_id{message.instance()};
    load.incarnation = {message.incarnation()};
    load.sequence = message.sequence();
    const int entries = std::min(message.server_size(), message.running_size());
    for (int i = 0; i < entries; ++i)
        load.servers.push_back({message.server(i), message.running(i)});
    return load;
}

} // namespace

std::string encode_status(const steering::instance_status& status)
{
    wire::instance_status message;
    fill(message, status);
    return message.SerializeAsString();
}

std::optional<steering::instance_status> decode_status(std::string_view message)
{
    wire::instance_status parsed;
    if (!parsed.ParseFromArray(message.data(), static_cast<int>(message.size())) || parsed.instance().empty())
        return std::nullopt;
    return read(parsed);
}

std::string encode_datagram(const steering::instance_status& status)
{
    wire::peer_datagram datagram;
    fill(*datagram.mutable_status(), status);
    return datagram.SerializeAsString();
}

std::string encode_datagram(const steering::instance_load& load)
{
    wire::peer_datagram datagram;
    auto* message = datagram.mutable_load();
    message->set_instance(load.instance.str());
    message->set_incarnation(load.incarnation.value);
    message->set_sequence(load.sequence);
    for (const auto& entry : load.servers) {
        message->add_server(entry.server);
        message->add_running(entry.running);
    }
    return datagram.SerializeAsString();
}

peer_message decode_datagram(std::string_view datagram)
{
    wire::peer_datagram parsed;
    if (!parsed.ParseFromArray(datagram.data(), static_cast<int>(datagram.size())))
        return {};
    if (parsed.has_status() && !parsed.status().instance().empty())
        return read(parsed.status());
    if (parsed.has_load() && !parsed.load().instance().empty())
        return read(parsed.load());
    return {};
}

} // namespace knapweed::gateway
