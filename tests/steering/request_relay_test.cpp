#include "samples.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using namespace knapweed::steering;
using core::milliseconds;

namespace {

/** A steerer with three servers that none of its probes reaches, and other instances. */
class cut_fixture : public test::steerer_fixture {
public:
    explicit cut_fixture(traffic_policy policy = test::sample_policy())
    {
        (void)steerer.apply(std::move(policy));
    }

    /** Receives a status message of another instance. */
    instance_status& hear(const std::string& name, const core::region_id& region = test::near_region)
    {
        auto& status = statuses[name];
        status.instance = core::instance_id{name};
        status.location = {core::data_centre_id{region == test::near_region ? "near-b" : "far-a"}, region};
        status.peer_address = name + ":1";
        status.incarnation = {1};
        status.ready = true;
        send(status);
        return status;
    }

    void send(instance_status& status)
    {
        ++status.sequence;
        steerer.peers().update(status);
    }

    void cut()
    {
        for (const auto* id : {"s0", "s1"})
            steerer.links().record_failed_connection(core::server_id{id});
        while (!steerer.links().is_cut()) {
            time.advance(milliseconds(10));
            for (const auto& server : steerer.links().next_probes())
                steerer.links().record_probe(server->record().id, false);
        }
    }

    std::map<std::string, instance_status> statuses;
};

relay_result result_of(relay_outcome outcome)
{
    relay_result result;
    result.outcome = outcome;
    result.retry_after = milliseconds(200);
    return result;
}

} // namespace

// Guards against an instance that refuses everything while its own paths to the servers are cut.
TEST_CASE("a request is relayed through another instance while the paths to all servers are cut")
{
    cut_fixture fixture;
    fixture.hear("i2");
    request_plan direct;
    REQUIRE(std::holds_alternative<send_step>(fixture.begin(direct)));
    fixture.cut();
    const auto demand_before = fixture.steerer.demand();
    request_plan plan;
    const auto step = fixture.begin(plan);
    const auto& relay = std::get<relay_step>(step);
    REQUIRE(relay.instance.str() == "i2");
    REQUIRE(relay.address == "i2:1");
    REQUIRE(relay.max_sends == 2);
    REQUIRE(relay.answer_by == fixture.time.now() + milliseconds(800));
    REQUIRE(fixture.steerer.demand() == demand_before);
    REQUIRE(std::holds_alternative<deliver_step>(
        fixture.steerer.relay_ended(plan, result_of(relay_outcome::answered))));
}

// Guards against requests that go round between instances that are all cut off.
TEST_CASE("a relayed request is never relayed again")
{
    cut_fixture fixture;
    fixture.hear("i2");
    fixture.cut();
    request_facts facts{"shop.example", "/orders/1", 0, fixture.time.now(), milliseconds(800)};
    facts.relayed_sends = 2;
    request_plan plan;
    const auto step = fixture.steerer.begin(facts, plan);
    REQUIRE(std::get<refuse_step>(step).reason == core::refusal_reason::no_backend_server);
}

// Guards against an unknown outcome of a request that waited behind others of its caller beyond its time
// limit.
TEST_CASE("a request whose time limit has passed is refused and not relayed")
{
    cut_fixture fixture;
    fixture.hear("i2");
    fixture.cut();
    const request_facts facts{"shop.example", "/orders/1", 0, fixture.time.now(), milliseconds(800)};
    fixture.time.advance(milliseconds(800));
    request_plan plan;
    const auto step = fixture.steerer.begin(facts, plan);
    REQUIRE(std::holds_alternative<refuse_step>(step));
    CHECK(std::get<refuse_step>(step).reason == core::refusal_reason::deadline_unmeetable);
}

// Guards against a second run of a request that the first instance may have had run.
TEST_CASE("only a relay that sent nothing is followed by another")
{
    cut_fixture fixture;
    fixture.hear("i2");
    fixture.hear("i3");
    fixture.cut();
    request_plan plan;
    const auto first = std::get<relay_step>(fixture.begin(plan)).instance;
    SECTION("another instance after a failed connection, and then none")
    {
        const auto step = fixture.steerer.relay_ended(plan, result_of(relay_outcome::not_sent));
        REQUIRE(std::get<relay_step>(step).instance != first);
        const auto last = fixture.steerer.relay_ended(plan, result_of(relay_outcome::not_sent));
        REQUIRE(std::get<refuse_step>(last).reason == core::refusal_reason::no_backend_server);
    }
    SECTION("a failure after a lost answer")
    {
        const auto step = fixture.steerer.relay_ended(plan, result_of(relay_outcome::unknown));
        REQUIRE(std::get<fail_step>(step).reason == core::unknown_reason::connection_lost);
    }
    SECTION("a failure after the time limit")
    {
        const auto step = fixture.steerer.relay_ended(plan, result_of(relay_outcome::timed_out));
        REQUIRE(std::get<fail_step>(step).reason == core::unknown_reason::server_timeout);
    }
    SECTION("a refusal is passed on with its time to retry")
    {
        const auto step = fixture.steerer.relay_ended(plan, result_of(relay_outcome::refused));
        const auto& refusal = std::get<refuse_step>(step);
        REQUIRE(refusal.reason == core::refusal_reason::server_refused);
        REQUIRE(refusal.retry_after > core::duration::zero());
    }
}

// Guards against a healthy instance that is avoided because a request ran out of time or of connections.
TEST_CASE("only an instance that can't be connected is avoided")
{
    cut_fixture fixture;
    fixture.hear("i2");
    fixture.cut();
    auto result = result_of(relay_outcome::not_sent);
    for (const bool unreachable : {false, true}) {
        request_plan plan;
        REQUIRE(std::holds_alternative<relay_step>(fixture.begin(plan)));
        result.unreachable = unreachable;
        REQUIRE(std::holds_alternative<refuse_step>(fixture.steerer.relay_ended(plan, result)));
    }
    request_plan plan;
    REQUIRE_FALSE(std::holds_alternative<relay_step>(fixture.begin(plan)));
}

// Guards against a second relay of a request whose time is up.
TEST_CASE("a request that ran out of time before it was relayed is refused")
{
    cut_fixture fixture;
    fixture.hear("i2");
    fixture.hear("i3");
    fixture.cut();
    request_plan plan;
    REQUIRE(std::holds_alternative<relay_step>(fixture.begin(plan)));
    fixture.time.advance(milliseconds(900));
    const auto step = fixture.steerer.relay_ended(plan, result_of(relay_outcome::not_sent));
    REQUIRE(std::get<refuse_step>(step).reason == core::refusal_reason::deadline_unmeetable);
}

// Guards against an instance that relays because a few servers have crashed.
TEST_CASE("a failed connection is followed by another server while the paths are only in doubt")
{
    cut_fixture fixture;
    fixture.hear("i2");
    request_plan plan;
    const auto sent = fixture.begin(plan);
    for (const auto* id : {"s0", "s1"})
        fixture.steerer.links().record_failed_connection(core::server_id{id});
    REQUIRE_FALSE(fixture.steerer.links().next_probes().empty());
    REQUIRE(fixture.steerer.links().state() == link_state::doubtful);
    REQUIRE(std::holds_alternative<send_step>(fixture.end(plan, sent, attempt_outcome::not_connected)));
}

// Guards against relays to instances that can't help, and against an idle caller where none can.
TEST_CASE("only live, ready instances that reach servers are asked, else the servers themselves")
{
    cut_fixture fixture;
    auto& status = fixture.hear("i2");
    const auto spoil = GENERATE(0, 1, 2, 3);
    status.ready = spoil != 0;
    status.leaving = spoil == 1;
    status.reaches_servers = spoil != 2;
    fixture.send(status);
    fixture.cut();
    if (spoil == 3)
        fixture.time.advance(milliseconds(2500));
    request_plan plan;
    REQUIRE_FALSE(std::holds_alternative<relay_step>(fixture.begin(plan)));
    REQUIRE(plan.relays.empty());
}

// Guards against a request whose body leaves the regions that its route allows.
TEST_CASE("a route with regions is relayed only to instances in them")
{
    auto policy = test::sample_policy();
    policy.routes.front().allowed_regions = {test::far_region};
    cut_fixture fixture(policy);
    fixture.hear("i2");
    fixture.cut();
    request_plan refused;
    REQUIRE_FALSE(std::holds_alternative<relay_step>(fixture.begin(refused)));
    fixture.hear("i3", test::far_region);
    request_plan relayed;
    const auto step = fixture.begin(relayed);
    REQUIRE(std::get<relay_step>(step).instance.str() == "i3");
}

// Guards against more servers for a request than its route allows, over both instances together.
TEST_CASE("the servers that the sending instance tried count for the other one")
{
    cut_fixture fixture;
    fixture.hear("i2");
    request_plan plan;
    const auto sent = fixture.begin(plan);
    fixture.cut();
    const auto step = fixture.end(plan, sent, attempt_outcome::not_connected);
    REQUIRE(std::get<relay_step>(step).max_sends == 2);

    test::steerer_fixture other;
    REQUIRE(other.steerer.apply(test::sample_policy()));
    request_facts facts{"shop.example", "/orders/1", 0, other.time.now(), milliseconds(800)};
    facts.relayed_sends = 1;
    request_plan relayed;
    const auto first = other.steerer.begin(facts, relayed);
    const auto next = other.end(relayed, first, attempt_outcome::not_run);
    REQUIRE(std::get<refuse_step>(next).reason == core::refusal_reason::server_refused);
}

// Guards against servers that stay suspended because this instance could not reach them.
TEST_CASE("a server is not blamed for requests that were lost in a cut")
{
    cut_fixture fixture;
    std::vector<request_plan> plans(3);
    std::vector<next_step> sent;
    sent.reserve(plans.size());
    for (auto& plan : plans)
        sent.push_back(fixture.begin(plan));
    fixture.cut();
    for (std::size_t i = 0; i < plans.size(); ++i)
        (void)fixture.end(plans[i], sent[i], attempt_outcome::timed_out);
    fixture.steerer.servers().visit(
        [](const backend_server& server) { REQUIRE(server.failures().failure_share() == 0); });
}

// Guards against one helping instance that gets all requests of an instance.
TEST_CASE("relays are spread over the instances of the own region")
{
    cut_fixture fixture;
    for (const auto* name : {"i2", "i3", "i4"})
        fixture.hear(name);
    fixture.hear("far", test::far_region);
    fixture.cut();
    std::map<std::string, int> relays;
    std::vector<request_plan> plans(60);
    for (auto& plan : plans)
        ++relays[std::get<relay_step>(fixture.begin(plan)).instance.str()];
    REQUIRE(relays.size() == 3);
    for (const auto& [instance, number] : relays)
        REQUIRE(number >= 10);
    for (auto& plan : plans)
        fixture.steerer.relay_abandoned(plan);
}
