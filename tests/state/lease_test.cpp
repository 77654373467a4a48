#include "fake_platform.h"
#include "samples.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using namespace std::chrono_literals;
using fault = tests::fake_platform::fault;

namespace {

/** An instance that tries to hold the lease, with its client. */
struct holder {
    holder(const std::string& name, std::uint64_t incarnation, const core::simulated_clock& time)
        : client({}, time, incarnation),
          lease({"snapshot", core::instance_id{name}, {incarnation}, 15000ms}, client, time)
    {
        lease.acquire();
    }

    void tick(tests::fake_platform& platform)
    {
        lease.tick();
        platform.serve(client);
    }
    /** @returns whether a write with the condition @p fence takes effect. */
    bool write_under(const state::row_condition& fence, tests::fake_platform& platform)
    {
        bool written = false;
        REQUIRE(client.submit(state::row_transaction{{fence}, {{"snapshots", "x", "v"}}},
                              [&written](const state::platform_reply& reply) {
                                  written = reply.status == state::platform_status::ok;
                              }));
        platform.serve(client);
        return written;
    }

    state::platform_client client;
    state::lease lease;
};

struct lease_fixture {
    core::simulated_clock time;
    tests::fake_platform platform;
    holder first{"e1", 1, time};
    holder second{"e2", 2, time};

    void run(core::milliseconds duration, bool first_runs = true)
    {
        for (core::milliseconds passed{0}; passed < duration; passed += 100ms) {
            if (first_runs)
                first.tick(platform);
            second.tick(platform);
            time.advance(100ms);
            REQUIRE_FALSE((first.lease.is_held() && second.lease.is_held()));
        }
    }
};

} // namespace

// Guards against two holders at the same time, and against a lease that is not renewed.
TEST_CASE_METHOD(lease_fixture, "one instance holds the lease and keeps it")
{
    run(60s);
    REQUIRE(first.lease.is_held());
    REQUIRE_FALSE(second.lease.is_held());
    REQUIRE(first.write_under(*first.lease.fence(), platform));
    first.lease.release();
    REQUIRE_FALSE(first.lease.is_held());
    run(6s);
    REQUIRE(second.lease.is_held());
}

// Guards against a holder that continues to write after a pause during which its lease expired.
TEST_CASE_METHOD(lease_fixture,
                 "after a pause in which its lease expired a holder does not hold it, and its write fails")
{
    run(1s);
    const auto old_fence = *first.lease.fence();
    run(40s, false);
    REQUIRE_FALSE(first.lease.is_held());
    REQUIRE_FALSE(first.lease.fence());
    REQUIRE(second.lease.is_held());
    REQUIRE_FALSE(first.write_under(old_fence, platform)); // stands for a write sent before the pause
    run(10s);
    REQUIRE(second.lease.is_held());
}

// Guards against a lease that nobody holds because its row was written but the answer was lost.
TEST_CASE_METHOD(lease_fixture, "an acquisition whose answer is lost is found by reading the row")
{
    platform.fail_writes(fault::lost_answer);
    run(10s);
    REQUIRE(first.lease.is_held());
}

// Guards against an expiry that is measured from the answer, so that the holder acts for too long.
TEST_CASE_METHOD(lease_fixture, "while the store is unreachable the lease expires after its duration")
{
    run(200ms); // the acquisition was requested at 0 ms
    REQUIRE(first.lease.is_held());
    platform.fail_all(fault::unreachable);
    run(14700ms);
    REQUIRE(first.lease.is_held());
    run(100ms);
    REQUIRE_FALSE(first.lease.is_held());
}

// Guards against a truncated or altered snapshot that is accepted.
TEST_CASE("a damaged snapshot is rejected")
{
    const auto text = state::encode_snapshot(tests::sample_configuration(3));
    REQUIRE(state::decode_snapshot(text)->version() == 3);
    for (std::size_t length = 0; length < text.size(); length += 7)
        REQUIRE_FALSE(state::decode_snapshot(text.substr(0, length)));
    auto altered = text;
    altered[text.size() / 2] ^= 1;
    REQUIRE_FALSE(state::decode_snapshot(altered));
}

// Guards against an instance that can't start without the table although a snapshot exists.
TEST_CASE_METHOD(lease_fixture, "the lease holder writes snapshots and a new instance starts from them")
{
    state::membership members{tests::sample_options("e1"), time};
    state::configuration_store store{{}, members, first.client, time, 1};
    state::configuration_snapshot snapshot{store, first.lease, first.client, time};
    store.offer(tests::sample_configuration(3), state::configuration_source::peer);
    for (int i = 0; i < 30; ++i) {
        snapshot.tick();
        platform.serve(first.client);
        time.advance(100ms);
    }
    REQUIRE(snapshot.stored_version() == 3);

    state::membership others{tests::sample_options("e2"), time};
    state::configuration_store fresh{{}, others, second.client, time, 1};
    state::configuration_snapshot reader{fresh, second.lease, second.client, time};
    reader.read();
    platform.serve(second.client);
    REQUIRE(fresh.version() == 3);
    // An older snapshot, written by a former holder, does not lower the version in force.
    platform.objects[state::snapshot_object] = state::encode_snapshot(tests::sample_configuration(2));
    reader.read();
    platform.serve(second.client);
    REQUIRE(fresh.version() == 3);
}
