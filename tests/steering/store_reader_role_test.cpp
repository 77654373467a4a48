#include "samples.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using namespace knapweed::steering;
using core::milliseconds;

namespace {

/** Instances of one region that hear each other's status every 500 ms unless they are cut off. */
class region_fixture {
public:
    struct member {
        member(const std::string& name, const core::clock& time)
            : id(name), peers(id, time), role(id, test::near_region, peers, time)
        {}

        core::instance_id id;
        peer_table peers;
        store_reader_role role;
        std::uint64_t sequence = 0;
        bool cut_off = false;
        bool leaving = false;
    };

    explicit region_fixture(std::size_t instances)
    {
        for (std::size_t i = 0; i < instances; ++i) {
            members.push_back(std::make_unique<member>("i" + std::to_string(i), time));
            members.back()->role.record_call(true);
        }
    }

    void exchange()
    {
        for (auto& from : members) {
            instance_status status;
            status.instance = from->id;
            status.location = test::sample_location();
            status.incarnation = {1};
            status.sequence = ++from->sequence;
            status.leaving = from->leaving;
            status.store = from->role.view();
            for (auto& to : members) {
                if (!from->cut_off && !to->cut_off)
                    to->peers.update(status);
            }
        }
    }

    /** Lets time pass in steps of 100 ms. */
    void advance(milliseconds span)
    {
        for (auto step = milliseconds(100); step <= span; step += milliseconds(100)) {
            time.advance(milliseconds(100));
            if (step.count() % 500 == 0)
                exchange();
            for (auto& each : members)
                each->role.tick();
        }
    }

    [[nodiscard]] std::vector<std::size_t> readers() const
    {
        std::vector<std::size_t> found;
        for (std::size_t i = 0; i < members.size(); ++i) {
            if (!members.at(i)->cut_off && members.at(i)->role.is_reader())
                found.push_back(i);
        }
        return found;
    }

    /** @returns a member that is no reader. */
    [[nodiscard]] member& follower() { return *members.at(readers().front() == 0 ? 1 : 0); }

    core::simulated_clock time;
    std::vector<std::unique_ptr<member>> members;
};

} // namespace

// Guards against calls to the store that grow with the instances, and against a region without a reader.
TEST_CASE("one instance of a region reads the store, another takes over when it falls silent or leaves")
{
    region_fixture region(5);
    for (const auto& each : region.members)
        REQUIRE(each->role.must_follow_store()); // nobody was heard yet
    region.advance(milliseconds(600));
    REQUIRE(region.readers().size() == 1);
    const auto first = region.readers().front();
    auto& follower = region.follower();
    REQUIRE_FALSE(follower.role.must_follow_store());

    region.members.at(first)->cut_off = true;
    region.advance(milliseconds(1400));
    REQUIRE(follower.role.must_follow_store()); // until the next reader is known
    region.advance(milliseconds(1600));
    REQUIRE(region.readers().size() == 1);
    const auto second = region.readers().front();
    REQUIRE(second != first);

    region.members.at(second)->leaving = true;
    region.members.at(second)->role.leave();
    region.advance(milliseconds(600));
    REQUIRE(region.readers().size() == 1);
    REQUIRE(region.readers().front() != second);
}

// Guards against an instance that misses a server's leaving because it hears no other instance.
TEST_CASE("an instance that is cut off from all others reads the store by itself within two seconds")
{
    region_fixture region(4);
    region.advance(milliseconds(600));
    auto& lonely = region.follower();
    lonely.cut_off = true;
    region.advance(milliseconds(1500));
    REQUIRE(lonely.role.must_follow_store());
}

// Guards against a copy that stays old after a lost datagram, and against reads for changes that are on their
// way.
TEST_CASE("an instance that was not told a change notices it by the others' status")
{
    region_fixture region(3);
    for (auto& each : region.members)
        each->role.set_table_version(replicated_table::servers, 40, 50);
    region.advance(milliseconds(600));
    auto& reader = *region.members.at(region.readers().front());
    auto& missed = region.follower();
    REQUIRE_FALSE(missed.role.is_behind(replicated_table::servers));
    reader.role.set_table_version(replicated_table::servers, 60, 61);
    region.exchange();
    region.advance(milliseconds(200));
    REQUIRE_FALSE(missed.role.is_behind(replicated_table::servers));
    region.advance(milliseconds(300));
    REQUIRE(missed.role.is_behind(replicated_table::servers));
    REQUIRE_FALSE(missed.role.is_behind(replicated_table::operators));
    missed.role.set_table_version(replicated_table::servers, 60, 63);
    REQUIRE_FALSE(missed.role.is_behind(replicated_table::servers));
}

// Guards against a change that hides a missed one, and against one that undoes a newer copy.
TEST_CASE("a change is taken only by a copy that has all changes before it and not the change itself")
{
    region_fixture region(1);
    auto& role = region.members.front()->role;
    table_change change;
    change.table = replicated_table::servers;
    change.follows = 40;
    change.newest = 60;
    change.version = 61;
    REQUIRE_FALSE(role.can_apply(change)); // nothing was listed yet
    role.set_table_version(replicated_table::servers, 30, 39);
    REQUIRE_FALSE(role.can_apply(change)); // change 40 is missing
    role.set_table_version(replicated_table::servers, 40, 45);
    REQUIRE(role.can_apply(change));
    role.set_table_version(replicated_table::servers, 40, 60);
    REQUIRE_FALSE(role.can_apply(change));
}

// Guards against lapsed entries that count as gone, and against one cut-off reader that makes all distrust
// the store.
TEST_CASE("the store counts as away when most readers miss it")
{
    region_fixture region(1);
    auto& own = *region.members.front();
    REQUIRE(own.role.store_reachable());
    const auto hear = [&](const std::string& name, const core::region_id& at, bool reachable) {
        instance_status status;
        status.instance = core::instance_id{name};
        status.location = {core::data_centre_id{"x"}, at};
        status.incarnation = {1};
        status.sequence = ++own.sequence;
        status.store.reads = true;
        status.store.reachable = reachable;
        own.peers.update(status);
    };
    hear("r1", test::far_region, true);
    hear("r2", core::region_id{"third"}, true);
    hear("r3", core::region_id{"fourth"}, false);
    REQUIRE(own.role.store_reachable());
    hear("r2", core::region_id{"third"}, false);
    REQUIRE_FALSE(own.role.store_reachable());
    hear("r2", core::region_id{"third"}, true);
    REQUIRE(own.role.store_reachable());
    own.role.record_call(false);
    REQUIRE_FALSE(own.role.store_reachable()); // it is the reader of its own region
}
