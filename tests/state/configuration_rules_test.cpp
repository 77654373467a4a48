#include "samples.h"

#include <catch2/catch.hpp>
#include <functional>

using namespace knapweed;

// Guards against a check that is missing or reports the wrong field.
TEST_CASE("each broken rule is reported with the path of its field")
{
    REQUIRE(state::validate(tests::sample_configuration(1)).empty());
    struct broken_rule {
        std::string field;
        std::function<void(wire::configuration&)> breaks;
    };
    const auto service = [](auto& configuration) { return configuration.mutable_services(0); };
    const auto server = [service](auto& configuration) {
        return service(configuration)->mutable_backend_servers(0);
    };
    const std::vector<broken_rule> rules{
        {"services[a b].name", [&](auto& c) { service(c)->set_name("a b"); }},
        {"services[orders].name", [](auto& c) { *c.add_services() = c.services(0); }},
        {"services[orders].max_run_ms", [&](auto& c) { service(c)->set_max_run_ms(0); }},
        {"services[orders].shift_cap_permille", [&](auto& c) { service(c)->set_shift_cap_permille(1001); }},
        {"services[orders].shift_window_ms", [&](auto& c) { service(c)->set_shift_window_ms(0); }},
        {"services[orders].backend_servers[s1].data_centre",
         [&](auto& c) { server(c)->set_data_centre("z"); }},
        {"services[orders].backend_servers[s1].slots", [&](auto& c) { server(c)->set_slots(0); }},
        {"services[orders].backend_servers[s1].connections", [&](auto& c) { server(c)->set_connections(2); }},
        {"services[orders].backend_servers[s1].address", [&](auto& c) { server(c)->set_address("host:80"); }},
        {"data_centres[a1].name", [](auto& c) { *c.add_data_centres() = c.data_centres(0); }},
        {"data_centres[a1].region", [](auto& c) { c.mutable_data_centres(0)->set_region(""); }},
        {"ranks[bulk].floor_permille", [](auto& c) { c.mutable_ranks(0)->set_floor_permille(1000); }},
        {"ranks[Bulk].rank", [](auto& c) { c.mutable_ranks(0)->set_rank("Bulk"); }},
        {"links[r1,r9].region_b", [](auto& c) { c.mutable_links(0)->set_region_b("r9"); }},
        {"links[r1,r2].bytes_per_second", [](auto& c) { c.mutable_links(0)->set_bytes_per_second(0); }},
        {"links[r2,r1]",
         [](auto& c) {
             auto& link = *c.add_links();
             link = c.links(0);
             link.set_region_a("r2");
             link.set_region_b("r1");
         }},
    };
    for (const auto& rule : rules) {
        auto configuration = tests::sample_configuration(1);
        rule.breaks(configuration);
        const auto errors = state::validate(configuration);
        INFO(rule.field << ", reported: " << state::describe(errors));
        REQUIRE(std::any_of(errors.begin(), errors.end(),
                            [&rule](const auto& error) { return error.field == rule.field; }));
    }
}

// Guards against floors that leave no slot time for the rank without a floor.
TEST_CASE("floors that sum to 1000 permille are rejected")
{
    auto configuration = tests::sample_configuration(1);
    configuration.mutable_ranks(0)->set_floor_permille(500);
    auto& other = *configuration.add_ranks();
    other.set_rank("standard");
    other.set_floor_permille(499);
    REQUIRE(state::validate(configuration).empty());
    other.set_floor_permille(500);
    REQUIRE(state::validate(configuration).at(0).field == "ranks.floor_permille");
}

// Guards against an address that the network layer can't use.
TEST_CASE("only an IP address with a port is a valid address")
{
    for (const auto* good : {"127.0.0.1:1", "10.0.0.1:65535", "[::1]:80"})
        REQUIRE(state::is_address(good));
    for (const auto* bad : {"", ":80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "::1:80",
                            "127.0.0.1:80x", "localhost:80", "1.2.3.4.5:80"})
        REQUIRE_FALSE(state::is_address(bad));
}
