#include "fleet/fleet_shape.h"

#include <algorithm>

namespace knapweed::bench {

namespace {

constexpr std::size_t nodes_per_data_centre = 20;
constexpr std::size_t target_data_centres = 80;
constexpr std::size_t target_regions = 28;

std::string ip_of(std::size_t number)
{
    return "10." + std::to_string(number / 65536 % 256) + "." + std::to_string(number / 256 % 256) + "." +
           std::to_string(number % 256);
}

} // namespace

fleet_shape scaled_shape(std::size_t nodes)
{
    fleet_shape shape;
    shape.nodes = nodes;
    shape.data_centres = std::max<std::size_t>(2, nodes / nodes_per_data_centre);
    shape.regions = std::max<std::size_t>(1, shape.data_centres * target_regions / target_data_centres);
    return shape;
}

std::string data_centre_name(std::size_t data_centre)
{
    return "dc" + std::to_string(data_centre);
}

std::string region_name(const fleet_shape& shape, std::size_t data_centre)
{
    return "region" + std::to_string(data_centre % shape.regions);
}

std::string node_address(std::size_t node)
{
    return ip_of(node) + ":7000";
}

decision::node_options node_options_of(const fleet_shape& shape, std::size_t node)
{
    const auto data_centre = node % shape.data_centres;
    decision::node_options options;
    options.instance = core::instance_id{"entry" + std::to_string(node)};
    options.incarnation = {1'700'000'000'000'000 + node};
    options.data_centre = core::data_centre_id{data_centre_name(data_centre)};
    options.region = core::region_id{region_name(shape, data_centre)};
    options.address = node_address(node);
    return options;
}

std::vector<state::listed_instance> instance_list(const fleet_shape& shape)
{
    std::vector<state::listed_instance> list;
    for (std::size_t node = 0; node < shape.nodes; ++node) {
        const auto options = node_options_of(shape, node);
        list.push_back({options.instance, options.address, options.data_centre, options.region, false});
    }
    return list;
}

wire::configuration make_configuration(const fleet_shape& shape, std::uint64_t version)
{
    constexpr std::size_t first_server = 1U << 20U; // above all node addresses
    wire::configuration configuration;
    configuration.set_version(version);
    for (std::size_t i = 0; i < shape.data_centres; ++i) {
        auto& data_centre = *configuration.add_data_centres();
        data_centre.set_name(data_centre_name(i));
        data_centre.set_region(region_name(shape, i));
    }
    std::size_t number = 0;
    for (std::size_t i = 0; i < shape.services; ++i) {
        auto& service = *configuration.add_services();
        service.set_name("service" + std::to_string(i));
        service.set_max_run_ms(2000);
        service.set_shift_cap_permille(200);
        service.set_shift_window_ms(10000);
        for (std::size_t j = 0; j < shape.data_centres * shape.servers; ++j) {
            auto& server = *service.add_backend_servers();
            server.set_name("server" + std::to_string(j));
            server.set_data_centre(data_centre_name(j % shape.data_centres));
            server.set_address(ip_of(first_server + number++) + ":9000");
            server.set_slots(3);
            server.set_connections(360);
        }
    }
    return configuration;
}

} // namespace knapweed::bench
