#include "samples.h"

#include <catch2/catch.hpp>
#include <set>

using namespace knapweed;
using namespace knapweed::steering;
using core::milliseconds;

namespace {

constexpr auto table = replicated_table::operators;

/** One instance among others, which have later versions. */
class selector_fixture {
public:
    selector_fixture() { role.set_listed(table, 5, 5); }

    void hear(const std::string& name, const core::region_id& region, std::uint64_t version,
              bool reads = false, bool shares = true)
    {
        instance_status status;
        status.instance = core::instance_id{name};
        status.location = test::sample_location();
        status.location.region = region;
        status.peer_address = name;
        status.incarnation = {1};
        status.sequence = ++sequence;
        status.capacity = reads ? 8 : 1;
        status.store.reads = reads;
        status.store.reachable = true;
        status.store.shares_copies = shares;
        status.store.newest_change.at(index_of(table)) = version;
        peers.update(status);
        role.tick();
    }

    std::string next()
    {
        role.tick();
        const auto source = selector.next(table);
        return source ? source->address : "";
    }

    core::simulated_clock time;
    core::instance_id own{"own"};
    peer_table peers{own, test::near_region, time};
    store_reader_role role{own, test::near_region, peers, time};
    copy_source_selector selector{test::near_region, peers, role, time, 1};
    std::uint64_t sequence = 0;
};

} // namespace

// Guards against reads of the store, and transfers between regions, by every instance.
TEST_CASE("an instance takes what it misses from its region, and from others only if that takes long")
{
    selector_fixture fixture;
    fixture.hear("reader", test::near_region, 5, true);
    REQUIRE(fixture.next().empty());
    fixture.hear("far", test::far_region, 6);
    fixture.time.advance(milliseconds(300));
    REQUIRE(fixture.next().empty());
    REQUIRE(fixture.selector.is_expected(table));
    fixture.hear("reader", test::near_region, 6, true);
    REQUIRE(fixture.next() == "reader");
    fixture.hear("near", test::near_region, 6);
    std::set<std::string> sources;
    for (int i = 0; i < 50; ++i)
        sources.insert(fixture.next());
    REQUIRE(sources == std::set<std::string>{"near", "reader"});
}

TEST_CASE("an instance in whose region no other has a copy takes it from another region after a second")
{
    selector_fixture fixture;
    fixture.hear("reader", test::near_region, 5, true);
    fixture.hear("far", test::far_region, 6);
    fixture.time.advance(milliseconds(1000));
    fixture.hear("far", test::far_region, 6);
    REQUIRE(fixture.next() == "far");
}

// Guards against an instance that waits for others which can't serve it.
TEST_CASE("an instance reads the store when the others can't provide what it misses in time")
{
    selector_fixture fixture;
    fixture.hear("reader", test::near_region, 6, true);
    fixture.time.advance(milliseconds(300));
    REQUIRE(fixture.next() == "reader");
    fixture.selector.record_failure(core::instance_id{"reader"});
    REQUIRE(fixture.next().empty());
    REQUIRE_FALSE(fixture.selector.is_expected(table));
    fixture.time.advance(milliseconds(1000));
    fixture.hear("reader", test::near_region, 6, true);
    REQUIRE(fixture.next() == "reader");
    REQUIRE(fixture.selector.is_expected(table));
    fixture.time.advance(milliseconds(600));
    fixture.hear("reader", test::near_region, 6, true);
    REQUIRE_FALSE(fixture.selector.is_expected(table));
}

// Guards against calls to an instance of an earlier build, which doesn't know them.
TEST_CASE("an instance that doesn't share copies is not asked for one")
{
    selector_fixture fixture;
    fixture.hear("old", test::near_region, 6, true, false);
    fixture.time.advance(milliseconds(300));
    REQUIRE(fixture.next().empty());
    REQUIRE_FALSE(fixture.selector.is_expected(table));
}

TEST_CASE("the largest instance reads the store unless one of the region doesn't share copies")
{
    selector_fixture fixture;
    fixture.role.record_call(true);
    for (int i = 0; i < 20; ++i)
        fixture.hear("i" + std::to_string(i), test::near_region, 5);
    fixture.hear("large", test::near_region, 5, true);
    REQUIRE_FALSE(fixture.role.is_reader());
    store_reader_role larger{fixture.own, test::near_region, fixture.peers, fixture.time, 16};
    larger.record_call(true);
    REQUIRE(larger.is_reader());
    fixture.hear("i0", test::near_region, 5, false, false);
    std::size_t lower = 0;
    for (int i = 0; i < 20; ++i)
        lower += core::hash_text("i" + std::to_string(i)) < core::hash_text("own") ? 1 : 0;
    REQUIRE(larger.is_reader() == (lower == 0 && core::hash_text("own") < core::hash_text("large")));
}
