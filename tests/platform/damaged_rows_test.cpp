#include "fuzz/message_mutator.h"
#include "platform/platform.h"
#include "platform/row_decoder.h"
#include "platform/store_client.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using namespace knapweed::platform;

namespace {

constexpr std::uint64_t seed = 20;
constexpr int cases = 5000;

} // namespace

// Guards against a damaged row or answer of the store that ends the process, or sends requests to no server.
TEST_CASE("damaged rows are rejected or decoded to usable values")
{
    const std::string policy =
        R"({"version":"0000001f","routes":{"r":{"host":"a.example","prefix":"/x/","kind":"safe","timeoutMs":800,)"
        R"("trafficSplit":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"maxAttempts":2,)"
        R"("allowedRegions":["east"]}},"services":{"s1":{"maxConns":360,"coldStartS":3.0,"coldPerS":9.7},"s2":{}},)"
        R"("limits":{"maxHeaderBytes":16384,"headerTimeoutMs":3000}})";
    const std::string server =
        R"({"address":"127.0.0.1:9","info":{"service":"s1","zone":"kl-a","slots":3},)"
        R"("status":{"state":"ready","sequence":4,"coldLeftMs":1500.5},"born":1784138155021})";
    const std::string rows =
        R"({"ver":9,"rows":[{"key":"k","ver":3,"value":"e30="},{"key":"l","removed":true}]})";
    test::message_mutator mutator(seed);
    core::simulated_clock time;
    steering::steerer steerer(
        {core::instance_id{"own"}, {core::data_centre_id{"kl-a"}, core::region_id{"east"}}}, time);
    steerer.servers().set_regions({{core::data_centre_id{"kl-a"}, core::region_id{"east"}}});
    for (int i = 0; i < cases; ++i) {
        auto decoded_policy = decode_policy(mutator.mutate(policy));
        if (auto* usable = std::get_if<steering::traffic_policy>(&decoded_policy)) {
            usable->version = steerer.policy() == nullptr ? 1 : steerer.policy()->version + 1;
            REQUIRE(steerer.apply(std::move(*usable)));
        }
        auto decoded_server = decode_server("i-1", mutator.mutate(server));
        if (auto* usable = std::get_if<steering::server_record>(&decoded_server))
            steerer.servers().put(std::move(*usable));
        read_result result;
        (void)parse_rows(mutator.mutate(rows), result);
        steering::request_plan plan;
        (void)steerer.begin({"a.example", "/x/1", 7, time.now(), core::milliseconds(1000)}, plan);
        time.advance(core::milliseconds(50));
        (void)steerer.tick();
    }
}
