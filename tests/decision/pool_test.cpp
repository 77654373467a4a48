#include "decision/pool.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using namespace knapweed::decision;
using namespace std::chrono_literals;

namespace {

struct pool_fixture {
    core::simulated_clock time;
    pool tested{{core::service_id{"orders"}, core::data_centre_id{"d1"}}, time};
    pool_settings settings;
    std::uint64_t next_exchange = 1;

    explicit pool_fixture(std::size_t servers, std::uint32_t slots = 3)
    {
        for (std::size_t i = 0; i < servers; ++i)
            settings.servers.push_back({core::server_id{"s" + std::to_string(i)}, "10.0.0.1:80", slots, 360});
        settings.max_run = 10s;
        tested.apply(settings);
        tested.accept({});
        tested.set_peers({{core::instance_id{"e1"}, true}});
    }

    pool_request request(core::rank rank, core::duration timeout = 60s)
    {
        return {{next_exchange++}, core::instance_id{"e1"}, rank, time.now() + timeout, true, true,
                {next_exchange}};
    }

    core::exchange_id offer(core::rank rank, core::duration timeout = 60s)
    {
        const auto offered = request(rank, timeout);
        REQUIRE_FALSE(tested.offer(offered));
        return offered.exchange;
    }

    /** Runs requests to success one after the other, so that new servers gain usable slots. */
    void warm_up(std::size_t runs)
    {
        for (std::size_t i = 0; i < runs; ++i) {
            const auto exchange = offer(core::rank::urgent);
            REQUIRE(tested.schedule().started.size() == 1);
            time.advance(1ms);
            REQUIRE(tested.finish(exchange, run_end::answered));
        }
    }

    void probe(std::uint32_t busy, bool leaving = false, bool healthy = true)
    {
        tested.observe(
            {core::service_id{"orders"}, core::server_id{"s0"}, true, time.now(), {healthy, leaving, busy}});
    }
};

} // namespace

// Guards against a new server that receives its full load at once.
TEST_CASE("a new server has one usable slot and gains one with each success")
{
    pool_fixture fixture{1};
    const auto first = fixture.offer(core::rank::standard);
    for (int i = 0; i < 5; ++i)
        fixture.offer(core::rank::standard);
    REQUIRE(fixture.tested.schedule().started.size() == 1);
    fixture.tested.finish(first, run_end::answered);
    REQUIRE(fixture.tested.schedule().started.size() == 2);
}

// Guards against new runs on a server that reports leaving, and against cancelling its runs in progress.
TEST_CASE("a leaving server gets no new runs and keeps the runs in progress")
{
    pool_fixture fixture{1};
    fixture.warm_up(3);
    const auto running = fixture.offer(core::rank::standard);
    REQUIRE(fixture.tested.schedule().started.size() == 1);
    fixture.offer(core::rank::standard);
    fixture.probe(1, true);
    REQUIRE(fixture.tested.schedule().started.empty());
    REQUIRE(fixture.tested.busy() == 1);
    REQUIRE(fixture.tested.finish(running, run_end::answered));
    REQUIRE(fixture.tested.schedule().started.empty());
}

// Guards against a new owner that overloads servers which still run requests of the previous owner.
TEST_CASE("a new owner starts no run until two reports show free slots or the longest run time has passed")
{
    pool_fixture fixture{1};
    fixture.warm_up(3);
    fixture.tested.take_over();
    fixture.offer(core::rank::urgent);
    REQUIRE(fixture.tested.schedule().started.empty());
    fixture.probe(0); // too early: the previous owner may still start runs
    fixture.time.advance(1s);
    fixture.probe(0);
    REQUIRE(fixture.tested.schedule().started.empty());
    fixture.time.advance(500ms);
    SECTION("two reports")
    {
        fixture.probe(2);
        REQUIRE(fixture.tested.schedule().started.size() == 1);
        fixture.offer(core::rank::urgent);
        REQUIRE(fixture.tested.schedule().started.empty());
    }
    SECTION("no reports")
    {
        fixture.time.advance(10s);
        REQUIRE(fixture.tested.schedule().started.size() == 1);
    }
}

// Guards against slots that are lost or used twice when the owner of a pool changes.
TEST_CASE("a hand-over carries the exact number of occupied slots")
{
    pool_fixture before{2};
    before.warm_up(8);
    for (int i = 0; i < 3; ++i)
        before.offer(core::rank::standard);
    REQUIRE(before.tested.schedule().started.size() == 3);
    const auto counts = before.tested.hand_over();
    REQUIRE(before.tested.offer(before.request(core::rank::urgent)) == core::refusal_reason::leaving);
    std::uint32_t occupied = 0;
    for (const auto& server : counts.servers())
        occupied += server.occupied();
    REQUIRE(occupied == 3);

    pool_fixture after{2, 1};
    after.tested.accept(counts);
    after.offer(core::rank::urgent);
    REQUIRE(after.tested.schedule().started.empty());
}

// Guards against two owners in a partitioned data centre that together exceed the slots of a server.
TEST_CASE("each owner of a disputed pool uses only its share of the slots")
{
    pool_fixture fixture{1, 4};
    fixture.warm_up(4);
    fixture.tested.dispute(2, true);
    for (int i = 0; i < 4; ++i)
        fixture.offer(core::rank::standard);
    const auto result = fixture.tested.schedule();
    REQUIRE(result.started.size() == 2);
    REQUIRE(result.started[0].connection_limit == 180);
    fixture.tested.end_dispute(); // two runs of the other owner may still be in progress
    REQUIRE(fixture.tested.schedule().started.empty());

    pool_fixture small{2, 3};
    small.tested.dispute(4, false);
    small.offer(core::rank::urgent);
    REQUIRE(small.tested.schedule().started.empty());
    small.tested.dispute(4, true);
    REQUIRE(small.tested.schedule().started.size() == 1);
}

// Guards against a hung server that gets more runs than it has slots.
TEST_CASE("a timed-out run beyond the longest run time keeps its slot until the server restarts")
{
    pool_fixture fixture{1, 1};
    const auto hung = fixture.offer(core::rank::standard);
    REQUIRE(fixture.tested.schedule().started.size() == 1);
    fixture.offer(core::rank::standard, 300s);
    fixture.time.advance(11s);
    REQUIRE(fixture.tested.overdue() == std::vector{hung});
    REQUIRE(fixture.tested.schedule().started.empty());
    fixture.tested.finish(hung, run_end::timed_out);
    fixture.time.advance(100s);
    REQUIRE(fixture.tested.schedule().started.empty());
    for (const bool reached : {false, false, true}) {
        fixture.time.advance(500ms);
        fixture.tested.observe({{}, core::server_id{"s0"}, reached, fixture.time.now(), {true, false, 1}});
    }
    REQUIRE(fixture.tested.schedule().started.size() == 1);
}

// Guards against a suspect request that shares its server, and against two suspects that run concurrently.
TEST_CASE("suspect requests run alone, one at a time, while other requests run on other servers")
{
    core::simulated_clock time;
    pool tested{{}, time, [](core::fingerprint fingerprint) { return fingerprint.value >= 100; }};
    pool_settings settings;
    settings.servers = {{core::server_id{"a"}, "", 1, 1}, {core::server_id{"b"}, "", 1, 1}};
    tested.apply(settings);
    tested.accept({});
    tested.set_peers({{core::instance_id{"e1"}, true}});
    for (const std::uint64_t fingerprint : {100U, 101U, 1U})
        REQUIRE_FALSE(tested.offer({{fingerprint},
                                    core::instance_id{"e1"},
                                    core::rank::urgent,
                                    time.now() + 60s + 1ms * fingerprint,
                                    true,
                                    true,
                                    {fingerprint}}));
    const auto started = tested.schedule().started;
    REQUIRE(started.size() == 2);
    REQUIRE(started[0].server != started[1].server);
    REQUIRE(started[0].solitary != started[1].solitary);
    const auto suspect = started[0].solitary ? started[0] : started[1];
    const auto death = tested.finish(suspect.exchange, run_end::died)->death;
    REQUIRE(death);
    REQUIRE(death->solitary);
    REQUIRE(death->running.size() == 1);
    REQUIRE(tested.schedule().started.empty());
}

// Guards against one server death that is counted once per broken connection.
TEST_CASE("the death of a server is reported once, with all requests that ran on it")
{
    pool_fixture fixture{1};
    fixture.warm_up(3);
    const auto first = fixture.offer(core::rank::standard);
    const auto second = fixture.offer(core::rank::standard);
    REQUIRE(fixture.tested.schedule().started.size() == 2);
    const auto death = fixture.tested.finish(first, run_end::died)->death;
    REQUIRE(death);
    REQUIRE(death->running.size() == 2);
    REQUIRE_FALSE(death->solitary);
    REQUIRE_FALSE(fixture.tested.finish(second, run_end::died)->death);
}

// Guards against windows that grant more places than the queue has.
TEST_CASE("credit windows sum to at most the queue capacity and grant each peer in the region a place")
{
    pool_fixture fixture{1, 2};
    fixture.tested.set_peers(
        {{core::instance_id{"e1"}, true}, {core::instance_id{"e2"}, true}, {core::instance_id{"far"}}});
    for (int i = 0; i < 6; ++i)
        (void)fixture.tested.offer(fixture.request(core::rank::bulk));
    fixture.tested.refresh_windows();
    std::uint32_t sum = 0;
    for (const char* peer : {"e1", "e2", "far"})
        sum += fixture.tested.report_for(core::instance_id{peer}).window(2);
    REQUIRE(sum <= 16);
    REQUIRE(fixture.tested.report_for(core::instance_id{"e2"}).window(2) >= 1);
    REQUIRE(fixture.tested.report_for(core::instance_id{"e1"}).window(2) >
            fixture.tested.report_for(core::instance_id{"far"}).window(2));
    auto non_peer = fixture.request(core::rank::bulk);
    non_peer.from = core::instance_id{"stranger"};
    REQUIRE(fixture.tested.offer(non_peer) == core::refusal_reason::no_credit);
}

// Guards against a flood of urgent requests that starves the other ranks.
TEST_CASE("each rank gets at least its floor of the slot time in a flood of urgent requests")
{
    pool_fixture fixture{1, 4};
    fixture.warm_up(4);
    std::map<core::exchange_id, core::rank> offered;
    core::per_rank<double> started{};
    for (int step = 0; step < 2000; ++step) {
        for (int i = 0; i < 12; ++i) {
            const auto request = fixture.request(core::all_ranks[static_cast<std::size_t>(i) % 3], 1h);
            if (!fixture.tested.offer(request))
                offered[request.exchange] = request.rank;
        }
        const auto result = fixture.tested.schedule();
        fixture.time.advance(20ms);
        for (const auto& run : result.started) {
            started[core::index_of(offered.at(run.exchange))] += 1;
            fixture.tested.finish(run.exchange, run_end::answered);
        }
    }
    const double all = started[0] + started[1] + started[2];
    REQUIRE(started[1] / all >= 0.15);
    REQUIRE(started[2] / all >= 0.05);
    REQUIRE(started[0] / all >= 0.75);
}

// Guards against slot time that is wasted on requests which can't be answered in time.
TEST_CASE("a request that can't meet its deadline is refused on arrival or dropped from the queue")
{
    pool_fixture fixture{1, 1};
    for (int i = 0; i < 20; ++i) {
        const auto exchange = fixture.offer(core::rank::urgent);
        REQUIRE(fixture.tested.schedule().started.size() == 1);
        fixture.time.advance(100ms);
        fixture.tested.finish(exchange, run_end::answered);
    }
    const auto blocker = fixture.offer(core::rank::urgent);
    REQUIRE(fixture.tested.schedule().started.size() == 1);
    REQUIRE(fixture.tested.offer(fixture.request(core::rank::urgent, 50ms)) ==
            core::refusal_reason::deadline_unmeetable);
    const auto late = fixture.offer(core::rank::urgent, 400ms);
    fixture.time.advance(350ms);
    fixture.tested.finish(blocker, run_end::answered);
    const auto result = fixture.tested.schedule();
    REQUIRE(result.started.empty());
    REQUIRE(result.dropped.size() == 1);
    REQUIRE(result.dropped[0].exchange == late);
    REQUIRE(result.dropped[0].reason == core::refusal_reason::expired_in_queue);
}
