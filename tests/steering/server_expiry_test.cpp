#include "samples.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using namespace knapweed::steering;
using core::milliseconds;

namespace {

const core::region_id third_region{"third"};
const core::service_id invoices{"invoices"};

/** An instance of the near region, with the readers of the regions as its peers. Each region has two servers
   of `orders` and one of `invoices`: near-0, near-1 and near-i, and so on. */
class expiry_fixture {
public:
    /** What the instance hears of a region's reader. */
    enum class report { none, answered, failing };

    expiry_fixture()
    {
        steerer.servers().set_regions({{core::data_centre_id{"near"}, test::near_region},
                                       {core::data_centre_id{"far"}, test::far_region},
                                       {core::data_centre_id{"third"}, third_region}});
        for (const std::string centre : {"near", "far", "third"}) {
            for (const std::string suffix : {"-0", "-1"})
                steerer.servers().put(test::sample_server(centre + suffix, centre));
            auto record = test::sample_server(centre + "-i", centre);
            record.service = invoices;
            steerer.servers().put(record);
        }
        own_calls(true);
        advance(milliseconds(1000));
    }

    void hear(const core::region_id& region, report what) { reports_[region] = what; }
    /** Sets whether the store answers the calls of the instance, which is the reader of its region. */
    void own_calls(bool answered) { answered_ = answered; }
    /** Has another instance read the store for the region of this one. */
    void follow_other_reader()
    {
        follows_ = true;
        hear(test::near_region, report::answered);
        advance(milliseconds(1000));
        REQUIRE_FALSE(steerer.store_role().must_follow_store());
    }
    void cut_off_other_regions()
    {
        hear(test::far_region, report::failing);
        hear(third_region, report::failing);
        advance(milliseconds(4000));
    }

    void advance(milliseconds duration)
    {
        for (auto step = milliseconds(0); step < duration; step += milliseconds(100)) {
            time.advance(milliseconds(100));
            if (!follows_)
                steerer.store_role().record_call(answered_);
            for (const auto& [region, what] : reports_) {
                if (what != report::none)
                    send_status(region, what == report::answered);
            }
            steerer.tick();
        }
    }

    void remove(std::initializer_list<const char*> ids)
    {
        for (const auto* id : ids)
            steerer.servers().remove(core::server_id{id});
    }
    [[nodiscard]] std::size_t usable(const core::service_id& service = test::orders) const
    {
        return steerer.servers().usable(service).size();
    }

    core::simulated_clock time;
    mutable steering::steerer steerer{
        {core::instance_id{"own"}, {core::data_centre_id{"near"}, test::near_region}}, time};

private:
    void send_status(const core::region_id& region, bool reachable)
    {
        instance_status status;
        status.location = {core::data_centre_id{region.str()}, region};
        status.incarnation = {1};
        status.sequence = ++sequence_;
        status.store.reads = true;
        status.store.reachable = reachable;
        status.store.newest_change = {1, 1};
        status.instance = reader_of(region);
        steerer.peers().update(status);
    }

    /** @returns a name that goes before this instance's in the order of readers, which is that of hashes. */
    static core::instance_id reader_of(const core::region_id& region)
    {
        auto name = region.str();
        while (core::hash_text(name) >= core::hash_text("own"))
            name += "x";
        return core::instance_id{name};
    }

    std::map<core::region_id, report> reports_{{test::far_region, report::answered},
                                               {third_region, report::answered}};
    std::uint64_t sequence_ = 0;
    bool answered_ = true;
    bool follows_ = false;
};

using report = expiry_fixture::report;

} // namespace

// Guards against requests to servers that left, from instances that the store answers, because most other
// instances had lost their paths to it.
TEST_CASE("entries that are removed in a region that reaches the store belong to servers that left")
{
    expiry_fixture fixture;
    fixture.remove({"third-0", "third-1"}); // half of the rest are of the near region
    SECTION("on the reader of the region") {}
    SECTION("on an instance that hears it of the region's reader")
    {
        fixture.follow_other_reader();
    }
    fixture.cut_off_other_regions();
    fixture.remove({"near-0", "near-1", "near-i"});
    CHECK(fixture.usable() == 2);
    CHECK(fixture.usable(invoices) == 2);
    CHECK(fixture.steerer.servers().find(core::server_id{"near-0"}) == nullptr);
    fixture.advance(milliseconds(3000));
    CHECK(fixture.usable() == 2);
}

// Guards against servers that are used again because others, which had said that they leave, count as
// expired.
TEST_CASE("an entry of a server that had reported that it leaves does not count as expired")
{
    expiry_fixture fixture;
    for (const auto* id : {"far-0", "far-1"}) {
        auto leaving = test::sample_server(id, "far");
        leaving.leaving = true;
        fixture.steerer.servers().put(leaving);
    }
    fixture.cut_off_other_regions();
    fixture.remove({"far-0", "far-1", "third-0"});
    CHECK(fixture.steerer.servers().find(core::server_id{"far-0"}) == nullptr);
    CHECK(fixture.usable() == 3);
}

// Guards against refusing all requests of a service whose servers still run.
TEST_CASE("servers of regions that are cut off from the store stay usable when their entries expire together")
{
    expiry_fixture fixture;
    fixture.cut_off_other_regions();
    SECTION("all at once")
    {
        fixture.remove({"far-0", "far-1", "third-0", "third-1"});
        CHECK(fixture.usable() == 6);
    }
    SECTION("one after the other")
    {
        fixture.remove({"far-0"});
        CHECK(fixture.usable() == 5);
        fixture.advance(milliseconds(300));
        fixture.remove({"third-0", "third-1"});
        CHECK(fixture.usable() == 6);
        fixture.advance(milliseconds(300));
        fixture.remove({"far-1"});
        CHECK(fixture.usable() == 6);
    }
    SECTION("in two services")
    {
        fixture.remove({"far-0", "far-1", "far-i", "third-0", "third-1", "third-i"});
        CHECK(fixture.usable() == 6);
        CHECK(fixture.usable(invoices) == 3);
    }
    fixture.advance(milliseconds(4000));
    CHECK(fixture.usable() == 6);

    fixture.hear(test::far_region, report::answered);
    fixture.hear(third_region, report::answered);
    fixture.advance(milliseconds(1500));
    CHECK(fixture.usable() == 6);
    for (const auto* id : {"far-0", "far-1"})
        fixture.steerer.servers().put(test::sample_server(id, "far"));
    fixture.advance(milliseconds(1000));
    CHECK(fixture.steerer.servers().find(core::server_id{"third-0"}) == nullptr);
    CHECK(fixture.steerer.servers().find(core::server_id{"far-0"}) != nullptr);
}

// Guards against refusing all requests when the store is down for all, and when a region stays cut off from
// it after that.
TEST_CASE("servers stay usable when their entries expired while the store was down")
{
    expiry_fixture fixture;
    fixture.own_calls(false);
    fixture.cut_off_other_regions();
    const auto remove_all = [&fixture] {
        fixture.remove({"near-0", "near-1", "far-0", "far-1", "third-0", "third-1"});
    };
    SECTION("and it is back for all")
    {
        fixture.own_calls(true);
        fixture.steerer.store_role().record_call(true); // the call that shows the removals
        remove_all();
        fixture.hear(test::far_region, report::answered);
        fixture.hear(third_region, report::answered);
        fixture.advance(milliseconds(1500));
        CHECK(fixture.usable() == 6);
    }
    SECTION("and other regions can't reach it yet")
    {
        fixture.own_calls(true);
        fixture.steerer.store_role().record_call(true);
        remove_all();
        fixture.advance(milliseconds(1900));
        CHECK(fixture.usable() == 6);
        for (const auto* id : {"near-0", "near-1"})
            fixture.steerer.servers().put(test::sample_server(id, "near"));
        fixture.advance(milliseconds(4000));
        CHECK(fixture.usable() == 6);
    }
    SECTION("and a new reader of the region claims to reach it, although it has not called yet")
    {
        fixture.own_calls(true);
        fixture.follow_other_reader();
        fixture.hear(test::near_region, report::failing);
        fixture.advance(milliseconds(1000));
        fixture.hear(test::near_region, report::answered);
        fixture.advance(milliseconds(2500));
        fixture.hear(test::near_region, report::failing);
        remove_all();
        fixture.advance(milliseconds(1000));
        CHECK(fixture.usable() == 6);
    }
}
