#include "samples.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using namespace knapweed::steering;
using core::milliseconds;

// Guards against the use of a load report long after the server made it.
TEST_CASE("the estimate from a load report decays, and load messages of other instances replace it")
{
    core::simulated_clock time;
    occupancy_estimate load(time);
    load.request_started();
    load.observe({4, 2, 3});
    REQUIRE(load.others() == Approx(5));
    REQUIRE(load.total() == Approx(6));
    time.advance(milliseconds(2000));
    REQUIRE(load.others() < 1);
    load.set_peer_requests(2);
    REQUIRE(load.others() == 2);
    time.advance(milliseconds(600));
    REQUIRE(load.others() < 2);
}

// Guards against requests that still count after their instance has died, or after a newer message.
TEST_CASE("load messages are summed up, replaced by newer ones and dropped when their instance sends no more")
{
    core::simulated_clock time;
    server_catalogue servers(time);
    servers.put(test::sample_server("s0"));
    const auto server = servers.find(core::server_id{"s0"});
    const auto server_hash = short_hash(*server);
    peer_loads loads(servers, time);
    loads.update({core::instance_id{"i2"}, {1}, 1, {{server_hash, 2}}});
    loads.update({core::instance_id{"i3"}, {1}, 1, {{server_hash, 1}}});
    REQUIRE(server->occupancy().others() == 3);
    loads.update({core::instance_id{"i2"}, {1}, 3, {}});
    loads.update({core::instance_id{"i2"}, {1}, 2, {{server_hash, 9}}});
    REQUIRE(server->occupancy().others() == 1);
    time.advance(milliseconds(900));
    loads.update({core::instance_id{"i2"}, {1}, 4, {}});
    time.advance(milliseconds(200));
    loads.tick();
    REQUIRE(server->occupancy().others() == 0);
}

// Guards against a server that stays excluded for ever, and against exclusion after a single failure.
TEST_CASE("consecutive failures suspend a server for an increasing but limited time")
{
    core::simulated_clock time;
    failure_tracker failures(time);
    failures.record_failure();
    failures.record_failure();
    REQUIRE_FALSE(failures.is_suspended());
    failures.record_failure();
    REQUIRE(failures.is_suspended());
    for (int i = 0; i < 20; ++i)
        failures.record_failure();
    time.advance(milliseconds(3000));
    REQUIRE_FALSE(failures.is_suspended());
    failures.record_success();
    failures.record_failure();
    REQUIRE_FALSE(failures.is_suspended());
}

// Guards against numbers of requests in a damaged message that overflow the sum.
TEST_CASE("load messages with impossible numbers are summed up and removed again")
{
    core::simulated_clock time;
    server_catalogue servers(time);
    servers.put(test::sample_server("s0"));
    const auto server = servers.find(core::server_id{"s0"});
    const auto server_hash = short_hash(*server);
    constexpr auto most = std::numeric_limits<unsigned>::max();
    peer_loads loads(servers, time);
    loads.update({core::instance_id{"i2"}, {1}, 1, {{server_hash, most}, {server_hash, 1U << 31U}}});
    loads.update({core::instance_id{"i3"}, {1}, 1, {{server_hash, 2}}});
    REQUIRE(server->occupancy().others() == most);
    loads.update({core::instance_id{"i2"}, {1}, 2, {}});
    REQUIRE(server->occupancy().others() == 2);
}

// Guards against a cold server that gets requests at the highest rate because of an overflow.
TEST_CASE("the pause between requests to a cold server is long for the smallest rate")
{
    REQUIRE(cold_start_spacing(1e-300, 1) >= std::chrono::hours(1));
    REQUIRE(cold_start_spacing(1e-9, 1000) >= std::chrono::hours(1));
}

// Guards against a configured rate whose number of senders overflows.
TEST_CASE("the number of instances that send to a cold server is at least one and limited")
{
    REQUIRE(max_cold_senders(1e300, 1.5, 5) >= 1000);
    REQUIRE(max_cold_senders(1e300, 1.5, 5) <= 1000000);
    REQUIRE(max_cold_senders(-1e300, 1.5, 5) == 1);
    REQUIRE(max_cold_senders(0, 1.5, 5) >= 1);
}

// Guards against more requests than a cold server can run: 9.7 per second, times 1.5, plus 5.
TEST_CASE("the requests of ten instances to a cold server stay below its limit in any second")
{
    core::simulated_clock time;
    std::vector<cold_start_limiter> instances(10, cold_start_limiter(time));
    for (auto& limiter : instances)
        limiter.set_remaining_cold_time(milliseconds(30010));
    const auto spacing = cold_start_spacing(9.7, instances.size());
    std::deque<core::time_point> sent;
    for (int step = 0; step < 3000; ++step) {
        time.advance(milliseconds(10));
        for (auto& limiter : instances) {
            if (!limiter.may_start(spacing))
                continue;
            limiter.request_started();
            sent.push_back(time.now());
        }
        while (!sent.empty() && time.now() - sent.front() > std::chrono::seconds(1))
            sent.pop_front();
        REQUIRE(sent.size() <= 9.7 * 1.5 + 5);
    }
    time.advance(milliseconds(10));
    REQUIRE_FALSE(instances.front().is_cold());
}

// Guards against messages between many instances that use up the processor time needed for requests.
TEST_CASE("few instances send load messages often, many send them at a limited rate")
{
    REQUIRE(load_interval(0, 0) == milliseconds(30));
    REQUIRE(load_interval(3, 6) == milliseconds(30));
    const auto interval_of_many = load_interval(21, 43);
    const double messages_per_second =
        (21 + 43 / 4.0) / std::chrono::duration<double>(interval_of_many).count();
    REQUIRE(messages_per_second <= 320.5);
    REQUIRE(load_interval(99, 200) * load_rounds_per_far_message <
            milliseconds(1000)); // after which the others remove the instance
}

// Guards against a cold server that receives a request from each of many instances in the same second.
TEST_CASE("only as many instances as allowed send to a cold server, and all compute the same ones")
{
    core::simulated_clock time;
    constexpr std::size_t instances = 65;
    const auto id_of = [](std::size_t i) { return core::instance_id{"i" + std::to_string(i)}; };
    backend_server server(test::sample_server("s0"), test::near_region, time);
    std::size_t senders = 0;
    std::size_t senders_in_region = 0;
    for (std::size_t own = 0; own < instances; ++own) {
        const auto region = own % 3 == 0 ? test::near_region : test::far_region;
        peer_table peers(id_of(own), region, time);
        for (std::size_t i = 0; i < instances; ++i) {
            instance_status status;
            status.instance = id_of(i);
            status.location = test::sample_location();
            status.location.region = i % 3 == 0 ? test::near_region : test::far_region;
            status.incarnation = {1};
            peers.update(status);
        }
        cold_sender_selector selector(id_of(own), region, peers, time);
        if (!selector.may_send_to_cold(server, 11))
            continue;
        ++senders;
        senders_in_region += own % 3 == 0 ? 1 : 0;
    }
    REQUIRE(senders == 11);
    REQUIRE(senders_in_region == 11);
    REQUIRE(max_cold_senders(4.5, 1.5, 8) <= 4.5 * 1.5 + 8);
    REQUIRE(max_cold_senders(4.5, 1.5, 8) >= 4);
}

// Guards against a slow server that counts as normal, and against one that is never tried again.
TEST_CASE("a slow server is detected within a few answers and counts as normal again after a while")
{
    core::simulated_clock time;
    speed_estimate speed(time);
    REQUIRE(speed.slowness() == 1);
    for (int i = 0; i < 4; ++i)
        speed.observe(milliseconds(1000), milliseconds(200));
    REQUIRE(speed.slowness() > 2);
    time.advance(std::chrono::seconds(15));
    REQUIRE(speed.slowness() == 1);
}

// Guards against estimates that a few misclassified answers shift, so that objects are fetched repeatedly.
TEST_CASE("familiar and unfamiliar run times stay distinct when a third of the samples is misclassified")
{
    core::simulated_clock time;
    service_state state({}, milliseconds(250), time);
    const core::region_id region{"near"};
    for (int i = 0; i < 600; ++i) {
        const bool misclassified = i % 3 == 0;
        state.observe_run_time(region, milliseconds(misclassified ? 240 : 72), true);
        state.observe_run_time(region, milliseconds(misclassified ? 72 : 240), false);
    }
    REQUIRE(state.familiar_run_time() < milliseconds(100));
    REQUIRE(state.unfamiliar_run_time() > milliseconds(200));
}

// Guards against an instance that refuses every request for ever because servers were slow once: without new
// answers the estimate would never be corrected.
TEST_CASE("a run time estimate decays while no answers arrive")
{
    core::simulated_clock time;
    service_state state({}, milliseconds(250), time);
    const core::region_id region{"near"};
    for (int i = 0; i < 200; ++i)
        state.observe_run_time(region, milliseconds(900), std::nullopt);
    REQUIRE(state.run_time() > milliseconds(700));
    time.advance(milliseconds(1000));
    REQUIRE(state.run_time() > milliseconds(700));
    time.advance(milliseconds(9000));
    REQUIRE(state.run_time() < milliseconds(100));
}

// Guards against objects that count as cached long after the server has dropped them.
TEST_CASE("only the objects of the latest requests count as cached")
{
    recent_objects objects;
    objects.add(1, 3);
    objects.add(1, 3);
    objects.add(2, 3);
    objects.add(3, 3);
    REQUIRE(objects.contains(1));
    objects.add(3, 3);
    REQUIRE_FALSE(objects.contains(1));
    REQUIRE(objects.contains(3));
    objects.clear();
    REQUIRE_FALSE(objects.contains(3));
}

// Guards against an instance that stays ignored because its clock was set back before it started again.
TEST_CASE("an instance that starts with an earlier time of day is live again once the one before is silent")
{
    core::simulated_clock time;
    peer_table peers(core::instance_id{"i1"}, test::near_region, time);
    instance_status status;
    status.instance = core::instance_id{"i2"};
    status.location = test::sample_location();
    status.incarnation = {9000};
    status.sequence = 40;
    REQUIRE(peers.update(status));
    const auto live_incarnation = [&peers] {
        std::uint64_t live = 0;
        peers.visit_live(peer_table::live_timeout,
                         [&live](const instance_status& peer) { live = peer.incarnation.value; });
        return live;
    };
    status.incarnation = {4000};
    status.sequence = 1;
    time.advance(core::milliseconds(500));
    REQUIRE_FALSE(peers.update(status)); // may be a late message of an earlier process
    REQUIRE(live_incarnation() == 9000);
    time.advance(peer_table::live_timeout);
    peers.add_registered(status);
    REQUIRE(peers.update(status));
    REQUIRE(live_incarnation() == 4000);
    status.sequence = 2;
    REQUIRE_FALSE(peers.update(status));
    status.incarnation = {9000};
    status.sequence = 41;
    REQUIRE(peers.update(status)); // the clock was set ahead again
}

// Guards against look-ups that send callers to an instance that is gone or shutting down.
TEST_CASE("look-ups name live, ready instances of the data centre only")
{
    core::simulated_clock time;
    peer_table peers(core::instance_id{"i1"}, test::near_region, time);
    instance_status status;
    status.instance = core::instance_id{"i2"};
    status.location = test::sample_location();
    status.caller_address = "127.0.0.1:1";
    status.incarnation = {5};
    status.sequence = 2;
    status.ready = true;
    const auto named = [&peers](const core::data_centre_id& data_centre, const core::region_id& region) {
        std::vector<lookup_candidate> candidates;
        peers.visit([&](const instance_status& peer, bool live) {
            if (peer.location.region == region)
                candidates.push_back({peer.caller_address, peer.location.data_centre, peer.capacity,
                                      live && peer.ready && !peer.leaving});
        });
        return choose_instances(data_centre, candidates);
    };
    peers.add_registered(status);
    REQUIRE(named(status.location.data_centre, status.location.region).empty());
    peers.update(status);
    REQUIRE(named(status.location.data_centre, status.location.region).size() == 1);
    REQUIRE(named(core::data_centre_id{"far-a"}, test::far_region).empty());
    status.leaving = true;
    status.sequence = 1;
    peers.update(status);
    REQUIRE(named(status.location.data_centre, status.location.region).size() == 1);
    time.advance(milliseconds(4000));
    REQUIRE(named(status.location.data_centre, status.location.region).empty());
    status.sequence = 3;
    peers.update(status);
    REQUIRE(named(status.location.data_centre, status.location.region).empty());
}

// Guards against a small instance that receives as many callers as a large one, or all callers of a data
// centre.
TEST_CASE("look-ups name the largest instances, and those of the region when most of a data centre is gone")
{
    const core::data_centre_id data_centre{"near-a"};
    const core::data_centre_id other_data_centre{"near-b"};
    std::vector<lookup_candidate> region{
        {"large-1", data_centre, 0.5, true},       {"large-2", data_centre, 0.5, true},
        {"small-1", data_centre, 0.1, true},       {"small-2", data_centre, 0.1, true},
        {"small-3", data_centre, 0.1, true},       {"beside-1", other_data_centre, 0.5, true},
        {"beside-2", other_data_centre, 0.1, true}};
    REQUIRE(choose_instances(data_centre, region) == std::vector<std::string>{"large-1", "large-2"});
    region[0].ready = false; // most of the capacity is left
    REQUIRE(choose_instances(data_centre, region) ==
            std::vector<std::string>{"large-2", "small-1", "small-2", "small-3"});
    region[1].ready = false; // the small ones alone would be overloaded
    const auto with_region = choose_instances(data_centre, region);
    REQUIRE(std::count(with_region.begin(), with_region.end(), "beside-1") == 1);
    for (auto& candidate : region)
        candidate.ready = false;
    REQUIRE(choose_instances(data_centre, region).empty());

    const std::vector<lookup_candidate> equal{{"a", data_centre, 0.2, true},
                                              {"b", data_centre, 0.2, true},
                                              {"c", data_centre, 0.2, true},
                                              {"d", data_centre, 0.2, true}};
    REQUIRE(choose_instances(data_centre, equal).size() == 4);
}
