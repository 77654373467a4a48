#include "fuzz/fuzz_target.h"
#include "net/address.h"
#include "platform/row_decoder.h"
#include "steering/steerer.h"

#include <algorithm>

using namespace knapweed;

namespace {

const core::service_id service{"s1"};
const core::data_centre_id data_centre{"kl-a"};

constexpr std::string_view policy_text =
    R"({"version":"1f","routes":{"r":{"host":"a.example","prefix":"/","kind":"safe","timeoutMs":800,)"
    R"("service":"s1","maxAttempts":2}},"services":{"s1":{"maxConns":36,"coldStartS":3.0,"coldPerS":9.7}}})";

steering::server_record sound_record(const char* id)
{
    steering::server_record record;
    record.id = core::server_id{id};
    record.service = service;
    record.data_centre = data_centre;
    record.address = "127.0.0.1:9";
    record.slots = 3;
    return record;
}

bool is_usable(steering::steerer& steerer, const char* id)
{
    const auto servers = steerer.servers().usable(service);
    return std::any_of(servers.begin(), servers.end(), [id](const steering::server_pointer& server) {
        return server->record().id == core::server_id{id} && server->record().slots == 3 &&
               !server->record().leaving;
    });
}

} // namespace

// Guards against an entry that is taken for a server without being one, or changes another entry's meaning.
void fuzz::run_input(std::string_view input)
{
    auto decoded = platform::decode_server("odd", input);
    const auto* record = std::get_if<steering::server_record>(&decoded);
    if (record == nullptr)
        return;
    const auto endpoint = net::parse_address(record->address);
    require(endpoint && endpoint->port() != 0, "a server has an address with a port");
    require(record->id == core::server_id{"odd"}, "the key of its row is the id of a server");
    require(std::chrono::abs(record->remaining_cold_time) <= std::chrono::hours(24),
            "the cold time is one of a real server");

    core::simulated_clock time;
    steering::steerer steerer({core::instance_id{"own"}, {data_centre, core::region_id{"east"}}}, time);
    steerer.servers().set_regions({{data_centre, core::region_id{"east"}}});
    auto policy = platform::decode_policy(policy_text);
    require(steerer.apply(std::get<steering::traffic_policy>(std::move(policy))), "the policy applies");
    steerer.servers().replace_all({sound_record("a"), *record, sound_record("z")});
    require(is_usable(steerer, "a") && is_usable(steerer, "z"), "other entries of a list hold");
    steerer.servers().put(*record);
    require(is_usable(steerer, "a") && is_usable(steerer, "z"), "other entries hold after a change");
    for (int i = 0; i < 4; ++i) {
        steering::request_plan plan;
        const auto step = steerer.begin({"a.example", "/x/1", 7, time.now(), core::milliseconds(1000)}, plan);
        (void)step;
        time.advance(core::milliseconds(50));
        (void)steerer.tick();
    }
}
