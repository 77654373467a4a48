#include "samples.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using namespace knapweed::steering;
using core::milliseconds;

namespace {

struct choice_fixture {
    choice_fixture()
    {
        for (int i = 0; i < 8; ++i) {
            servers.push_back(std::make_shared<backend_server>(
                test::sample_server("s" + std::to_string(i), i < 4 ? "near-a" : "near-b"), test::near_region,
                time));
        }
        request.time_left = milliseconds(800);
        request.time_to_target = milliseconds(200);
        request.run_time = milliseconds(100);
        request.familiar_run_time = milliseconds(72);
        request.unfamiliar_run_time = milliseconds(240);
        request.queued_run_time = request.run_time;
        request.longest_run_time = request.unfamiliar_run_time;
    }

    server_pointer choose(std::span<const server_pointer> excluded = {})
    {
        const auto result = choose_server(request, servers, excluded, distances);
        const auto* choice = std::get_if<server_choice>(&result);
        return choice == nullptr ? nullptr : choice->server;
    }

    static void occupy(backend_server& server, int requests)
    {
        for (int i = 0; i < requests; ++i)
            server.record_send();
    }

    core::simulated_clock time;
    distance_table distances{test::sample_location()};
    std::vector<server_pointer> servers;
    choice_request request;
};

} // namespace

// Guards against fetching the same object at several servers: all instances must choose the same server.
TEST_CASE("a request goes to its object's home server while that has room")
{
    choice_fixture fixture;
    fixture.request.object_hash = core::hash_text("object 17");
    const auto home = fixture.choose();
    choice_fixture other_instance;
    other_instance.request.object_hash = fixture.request.object_hash;
    std::reverse(other_instance.servers.begin(), other_instance.servers.end());
    REQUIRE(other_instance.choose()->record().id == home->record().id);
    choice_fixture::occupy(*home, 4);
    REQUIRE(fixture.choose() == home);
    choice_fixture::occupy(*home, 8);
    REQUIRE(fixture.choose() != home);
}

// Guards against queues in which every request misses its target.
TEST_CASE("a request joins no queue in which it would miss its target by more than the allowance")
{
    choice_fixture fixture;
    fixture.request.time_to_target = milliseconds(50);
    for (const auto& server : fixture.servers)
        choice_fixture::occupy(*server, 3);
    REQUIRE(fixture.choose() != nullptr);
    for (const auto& server : fixture.servers)
        choice_fixture::occupy(*server, 2);
    const auto refused = choose_server(fixture.request, fixture.servers, {}, fixture.distances);
    REQUIRE(std::get<no_choice>(refused).reason == core::refusal_reason::no_free_slot);
    REQUIRE(std::get<no_choice>(refused).shortest_wait > core::duration::zero());
}

// Guards against fetches that end late and occupy the slots of requests that could be answered in time.
TEST_CASE("a request whose fetch would end late is sent only to a server that is mostly free")
{
    choice_fixture fixture;
    fixture.request.object_hash = core::hash_text("object 17");
    const auto home = fixture.choose();
    choice_fixture::occupy(*home, 12);
    for (const auto& server : fixture.servers) {
        if (server != home)
            choice_fixture::occupy(*server, 1);
    }
    REQUIRE(fixture.choose() == nullptr); // one of three slots is in use everywhere, the home server is full
    const auto idle = fixture.servers.front() == home ? fixture.servers.back() : fixture.servers.front();
    idle->occupancy().request_ended();
    REQUIRE(fixture.choose() == idle);
    choice_fixture::occupy(*idle, 1);
    fixture.request.time_to_target = milliseconds(300); // the fetch would end in time
    REQUIRE(fixture.choose() != nullptr);

    fixture.request.time_to_target = milliseconds(200);
    auto record = test::sample_server("single");
    record.slots = 1;
    fixture.servers = {std::make_shared<backend_server>(record, test::near_region, fixture.time)};
    REQUIRE(fixture.choose() == fixture.servers.front()); // its only slot is free
}

// Guards against sending requests that can't end in time.
TEST_CASE("a request that can't end before its time limit is refused at once")
{
    choice_fixture fixture;
    fixture.request.time_left = milliseconds(60);
    const auto refused = choose_server(fixture.request, fixture.servers, {}, fixture.distances);
    REQUIRE(std::get<no_choice>(refused).reason == core::refusal_reason::deadline_unmeetable);
}

// Guards against requests to servers that fail, were tried already, are cold or do not answer.
TEST_CASE("suspended, tried and cold servers are excluded, and those that do not answer are avoided")
{
    choice_fixture fixture;
    fixture.request.cold_spacing = milliseconds(1100);
    for (std::size_t i = 0; i < 5; ++i)
        fixture.servers[i]->failures().record_unreachable();
    fixture.servers[5]->cold_start().assume_cold(milliseconds(3000));
    fixture.servers[5]->cold_start().request_started();
    choice_fixture::occupy(*fixture.servers[6], 1);
    fixture.time.advance(milliseconds(390));
    fixture.servers[7]->record_answer();
    fixture.time.advance(milliseconds(5));
    REQUIRE(fixture.choose(std::span(fixture.servers).subspan(6, 1)) == fixture.servers[7]);
    choice_fixture::occupy(*fixture.servers[7], 1);
    fixture.time.advance(milliseconds(1));
    REQUIRE(fixture.choose(std::span(fixture.servers).subspan(6, 2)) == nullptr);
}

// Guards against waiting at a server that has not answered for a long time.
TEST_CASE("a server with requests in progress that has not answered for long is avoided")
{
    choice_fixture fixture;
    fixture.servers.resize(2);
    choice_fixture::occupy(*fixture.servers[0], 1);
    fixture.time.advance(milliseconds(1000));
    choice_fixture::occupy(*fixture.servers[1], 2);
    REQUIRE(fixture.choose() == fixture.servers[1]);
}

// Guards against sending large answers over shared links with little bandwidth.
TEST_CASE("a request for a large answer stays in the instance's data centre even when its servers have to "
          "fetch the object")
{
    choice_fixture fixture;
    fixture.request.answer_kilobytes = 90;
    fixture.request.familiar_run_time = milliseconds(58);
    fixture.request.unfamiliar_run_time = milliseconds(192);
    fixture.request.longest_run_time = milliseconds(192);
    for (int object = 1; object < 40; ++object) {
        fixture.request.object_hash = core::hash_text(std::to_string(object));
        REQUIRE(fixture.choose()->record().data_centre == test::sample_location().data_centre);
    }
}

namespace {

double weight_of(const state::weights_of<core::region_id>& weights, const char* region)
{
    const auto found = weights.find(core::region_id{region});
    return found == weights.end() ? 0 : found->second;
}

} // namespace

// Guards against sending requests to other regions while there is room in this one, and against refusing
// requests that another region could run.
TEST_CASE("a region serves its own callers first and moves only the demand above its capacity")
{
    const core::region_id small{"small"};
    const auto below_capacity = plan_regions(small, {{small, 100, 50}, {core::region_id{"large"}, 400, 100}});
    REQUIRE(weight_of(below_capacity, "small") == Approx(1));
    const auto above_capacity =
        plan_regions(small, {{small, 100, 200}, {core::region_id{"large"}, 400, 100}});
    REQUIRE(weight_of(above_capacity, "large") == Approx((200 - 88) / 200.0));
    REQUIRE(plan_regions(small, {{small, 0, 10}, {core::region_id{"large"}, 0, 10}}).empty());
    const auto without_servers = plan_regions(small, {{small, 0, 10}, {core::region_id{"large"}, 400, 100}});
    REQUIRE(weight_of(without_servers, "small") == 0);
    REQUIRE(weight_of(without_servers, "large") > 0);
}

// Guards against a region with few servers that refuses most of its requests while all regions are
// overloaded.
TEST_CASE("when all regions are overloaded, a region with few servers moves requests to the others")
{
    const core::region_id small{"small"};
    const auto weights = plan_regions(small, {{small, 50, 200}, {core::region_id{"large"}, 200, 200}});
    REQUIRE(weight_of(weights, "large") > 0);
}
