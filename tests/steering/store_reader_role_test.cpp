#include "samples.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using namespace knapweed::steering;
using core::milliseconds;

namespace {

/** Instances of one region that exchange status messages every 500 ms unless they are cut off. */
class region_fixture {
public:
    struct member {
        member(const std::string& name, const core::clock& time)
            : id(name), peers(id, test::near_region, time), role(id, test::near_region, peers, time)
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

    /** Sends the status of each connected member to all connected members. */
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

    /** Advances the clock in steps of 100 ms, with ticks and status messages. */
    void advance(milliseconds duration)
    {
        for (auto step = milliseconds(100); step <= duration; step += milliseconds(100)) {
            time.advance(milliseconds(100));
            if (step.count() % 500 == 0)
                exchange();
            for (auto& instance : members)
                instance->role.tick();
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

    /** @returns a member that is not the reader. */
    [[nodiscard]] member& follower() { return *members.at(readers().front() == 0 ? 1 : 0); }

    core::simulated_clock time;
    std::vector<std::unique_ptr<member>> members;
};

} // namespace

// Guards against a number of store calls that grows with the instances, and against a region without a
// reader.
TEST_CASE("one instance of a region reads the store, and another takes over when it is cut off or shuts down")
{
    region_fixture region(5);
    for (const auto& instance : region.members)
        REQUIRE(instance->role.must_follow_store()); // no status message was received yet
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

// Guards against calls of every instance to a store that answers none of them, and against a reader that the
// store turns away while it answers others.
TEST_CASE("an instance that the store answers replaces a reader that it turns away")
{
    region_fixture region(5);
    region.advance(milliseconds(600));
    const auto first = region.readers().front();
    auto& turned_away = *region.members.at(first);
    turned_away.role.record_call(false);
    region.advance(milliseconds(500));
    REQUIRE(region.readers() == std::vector<std::size_t>{first}); // a single failure
    turned_away.role.record_call(false);
    region.advance(milliseconds(1000));
    REQUIRE(region.readers().size() == 1);
    REQUIRE(region.readers().front() != first);

    // One after the other fails; in the end one goes on trying.
    for (std::size_t i = 0; i < 2 * region.members.size(); ++i) {
        auto& reader = *region.members.at(region.readers().front());
        reader.role.record_call(false);
        reader.role.record_call(false);
        region.advance(milliseconds(500));
    }
    REQUIRE(region.readers().size() == 1);
    std::size_t calling = 0;
    for (const auto& instance : region.members)
        calling += instance->role.must_follow_store() ? 1 : 0;
    REQUIRE(calling == 1);
    const auto last = region.readers().front();
    region.members.at(last)->role.record_call(true);
    region.advance(milliseconds(600));
    REQUIRE(region.readers() == std::vector<std::size_t>{last});
}

// Guards against an instance that does not detect that a server leaves, since it receives no messages from
// other instances.
TEST_CASE("an instance that is cut off from all others reads the store by itself within two seconds")
{
    region_fixture region(4);
    region.advance(milliseconds(600));
    auto& isolated = region.follower();
    isolated.cut_off = true;
    region.advance(milliseconds(1500));
    REQUIRE(isolated.role.must_follow_store());
}

// Guards against a copy that stays out of date after a lost datagram, and against reads for changes that are
// about to arrive.
TEST_CASE("an instance that missed a change detects it from the status messages of the others")
{
    region_fixture region(3);
    for (auto& instance : region.members)
        instance->role.set_table_version(replicated_table::servers, 40, 50);
    region.advance(milliseconds(600));
    auto& reader = *region.members.at(region.readers().front());
    auto& outdated = region.follower();
    REQUIRE_FALSE(outdated.role.is_behind(replicated_table::servers));
    reader.role.set_table_version(replicated_table::servers, 60, 61);
    region.exchange();
    region.advance(milliseconds(200));
    REQUIRE_FALSE(outdated.role.is_behind(replicated_table::servers));
    region.advance(milliseconds(300));
    REQUIRE(outdated.role.is_behind(replicated_table::servers));
    REQUIRE_FALSE(outdated.role.is_behind(replicated_table::operators));
    outdated.role.set_table_version(replicated_table::servers, 60, 63);
    REQUIRE_FALSE(outdated.role.is_behind(replicated_table::servers));
}

// Guards against a change that hides a missed one, and against an old change that overwrites a newer copy.
TEST_CASE("a change can be applied only to a copy that has all changes before it but not the change itself")
{
    region_fixture region(1);
    auto& role = region.members.front()->role;
    table_change change;
    change.table = replicated_table::servers;
    change.follows = 40;
    change.newest = 60;
    change.version = 61;
    REQUIRE_FALSE(role.can_apply(change)); // the copy was never filled
    role.set_table_version(replicated_table::servers, 30, 39);
    REQUIRE_FALSE(role.can_apply(change)); // change 40 is missing
    role.set_table_version(replicated_table::servers, 40, 45);
    REQUIRE(role.can_apply(change));
    role.set_table_version(replicated_table::servers, 40, 60);
    REQUIRE_FALSE(role.can_apply(change));
}

// Guards against changes that are taken for known because the list of a starting instance holds a newer row.
TEST_CASE("a list states no change as known that is newer than the version it is complete up to")
{
    region_fixture region(1);
    auto& role = region.members.front()->role;
    const auto list = role.change_of_list(replicated_table::servers, {{"a", "", 30}, {"z", "", 52}}, 50);
    CHECK(list.newest == 30);
    role.set_listed(replicated_table::servers, list.newest, list.version);
    CHECK(role.view().newest_change.at(index_of(replicated_table::servers)) == 30);

    const auto change =
        role.change_of_feed(replicated_table::servers, {{"a", "", 51, true}, {"z", "", 52}}, 53);
    REQUIRE(change.rows.size() == 2);
    CHECK(change.rows.front().key == "a");
    CHECK(change.newest == 52);
    role.set_table_version(replicated_table::servers, change.newest, change.version);
    CHECK(role.change_of_feed(replicated_table::servers, {{"z", "", 52}}, 53).rows.empty());
}

// Guards against servers that stay in use for good because their entries were removed while the region's
// reader was restarting: its list doesn't show removals, and its first broadcast claimed that there had been
// none.
TEST_CASE("the first change after a list can't be applied by an instance that may lack a removal before it")
{
    region_fixture region(2);
    auto& reader = *region.members.at(0);
    auto& follower = *region.members.at(1);
    follower.role.set_table_version(replicated_table::servers, 40, 50);
    // Row 55 was removed before the list.
    const auto list = reader.role.change_of_list(replicated_table::servers, {{"a", "", 40}}, 60);
    reader.role.set_listed(replicated_table::servers, list.newest, list.version);
    const auto read_change = [&reader](std::uint64_t version) {
        auto change =
            reader.role.change_of_feed(replicated_table::servers, {{"b", "", version, true}}, version);
        reader.role.set_table_version(replicated_table::servers, change.newest, change.version);
        return change;
    };
    reader.role.set_table_version(replicated_table::servers, 40, 70); // an answer without changes
    CHECK_FALSE(follower.role.can_apply(read_change(75)));

    follower.role.set_table_version(replicated_table::servers, 75, 80); // read from the store
    CHECK(follower.role.can_apply(read_change(85)));
}

// Guards against the same after a copy that another instance sent and had listed itself.
TEST_CASE("the first change after a copy from another instance names what the copy is complete up to")
{
    region_fixture region(2);
    auto& sender = *region.members.at(0);
    auto& receiver = *region.members.at(1);
    const auto list = sender.role.change_of_list(replicated_table::operators, {{"a", "", 40}}, 60);
    receiver.role.set_table_version(replicated_table::operators, 20, 30);
    receiver.role.set_listed(replicated_table::operators, list.newest, list.version);
    CHECK(receiver.role.newest_change(replicated_table::operators) == 40);
    CHECK(receiver.role.change_of_feed(replicated_table::operators, {{"b", "", 75}}, 75).follows == 60);
}

// Guards against expired entries that count as removed, and against one reader without the store that makes
// all instances treat the store as unreachable.
TEST_CASE("the store counts as unreachable when most readers cannot reach it")
{
    region_fixture region(1);
    auto& own = *region.members.front();
    REQUIRE(own.role.store_reachable());
    const auto receive_status = [&](const std::string& name, const core::region_id& region_of_reader,
                                    bool reachable) {
        instance_status status;
        status.instance = core::instance_id{name};
        status.location = {core::data_centre_id{"x"}, region_of_reader};
        status.incarnation = {1};
        status.sequence = ++own.sequence;
        status.store.reads = true;
        status.store.reachable = reachable;
        own.peers.update(status);
    };
    receive_status("r1", test::far_region, true);
    receive_status("r2", core::region_id{"third"}, true);
    receive_status("r3", core::region_id{"fourth"}, false);
    REQUIRE(own.role.store_reachable());
    receive_status("r2", core::region_id{"third"}, false);
    REQUIRE_FALSE(own.role.store_reachable());
    receive_status("r2", core::region_id{"third"}, true);
    REQUIRE(own.role.store_reachable());
    own.role.record_call(false);
    REQUIRE_FALSE(own.role.store_reachable()); // it is the reader of its own region
}

// Guards against versions that are compared although the store has given them out again.
TEST_CASE("versions of an earlier era are older than any of a later one")
{
    region_fixture region(3);
    for (auto& instance : region.members) {
        instance->role.set_era(1);
        instance->role.set_table_version(replicated_table::operators, 60, 68);
    }
    region.advance(milliseconds(600));
    auto& reader = *region.members.at(region.readers().front());
    auto& follower = region.follower();
    table_change late;
    late.follows = 60;
    late.newest = 69;
    late.version = 69;
    late.era = 1;
    REQUIRE(reader.role.can_apply(late));

    reader.role.set_era(2);
    REQUIRE(reader.role.is_outdated(replicated_table::operators)); // until it has listed the table
    reader.role.set_listed(replicated_table::operators, 40, 41);
    REQUIRE(reader.role.version(replicated_table::operators) == 41);
    REQUIRE_FALSE(reader.role.is_outdated(replicated_table::operators));
    REQUIRE_FALSE(reader.role.can_apply(late));
    REQUIRE_FALSE(reader.role.is_of_later_era(late));

    region.advance(milliseconds(500));
    REQUIRE(follower.role.is_outdated(replicated_table::operators));
    REQUIRE(follower.role.is_behind(replicated_table::operators)); // at once
    auto change = late;
    change.era = 2;
    change.newest = 45;
    REQUIRE_FALSE(follower.role.can_apply(change));
    REQUIRE(follower.role.is_of_later_era(change));
    follower.role.record_applied(change);
    REQUIRE_FALSE(follower.role.is_of_later_era(change)); // the same datagram again
    follower.role.set_era(2);
    follower.role.set_listed(replicated_table::operators, 45, 46);
    REQUIRE_FALSE(follower.role.is_behind(replicated_table::operators));
    REQUIRE(reader.role.version(replicated_table::operators) == 41);
}

// Guards against calls to the store in quick succession because an instance claims an era that the store
// doesn't state.
TEST_CASE("an era that the store doesn't confirm is looked into no more often than a missed change")
{
    region_fixture region(2);
    for (auto& instance : region.members) {
        instance->role.set_era(1);
        instance->role.set_table_version(replicated_table::servers, 10, 10);
    }
    region.advance(milliseconds(600));
    auto& mistaken = *region.members.at(0);
    auto& other = *region.members.at(1);
    mistaken.role.set_era(9);
    mistaken.role.set_listed(replicated_table::servers, 5, 5);
    region.advance(milliseconds(500));
    REQUIRE(other.role.is_behind(replicated_table::servers));
    other.role.set_table_version(replicated_table::servers, 10, 12); // read, still in the first era
    region.advance(milliseconds(100));
    REQUIRE_FALSE(other.role.is_behind(replicated_table::servers));
}

// Guards against instances that miss all changes because only those of an earlier build read the store, and
// against a copy that is compared with versions of which the era is unknown.
TEST_CASE("an instance that states no era is no reader for instances that know the era")
{
    region_fixture region(4);
    auto& first = *region.members.at(0);
    region.advance(milliseconds(600));
    REQUIRE(region.readers().size() == 1);
    first.role.set_era(3);
    first.role.set_listed(replicated_table::servers, 20, 20);
    for (std::size_t i = 1; i < region.members.size(); ++i)
        region.members.at(i)->role.set_table_version(replicated_table::servers, 500, 500);
    region.advance(milliseconds(600));
    REQUIRE(first.role.is_reader());
    REQUIRE_FALSE(first.role.is_behind(replicated_table::servers));
    table_change change;
    change.table = replicated_table::servers;
    change.follows = 20;
    change.newest = 501;
    change.version = 501;
    REQUIRE_FALSE(first.role.can_apply(change));
    REQUIRE_FALSE(first.role.is_of_later_era(change));
}
