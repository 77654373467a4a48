#include "gateway/graceful_shutdown.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using namespace knapweed::gateway;
using core::milliseconds;

namespace {

constexpr milliseconds grace{6000};

struct shutdown_fixture {
    core::simulated_clock time;
    graceful_shutdown shutdown{time};
};

} // namespace

// Guards against a second stop signal that lets the process outlive its grace period.
TEST_CASE("the grace period counts from the first stop signal")
{
    shutdown_fixture fixture;
    fixture.shutdown.begin(grace);
    const auto due = fixture.shutdown.answers_due();
    fixture.time.advance(milliseconds(3000));
    fixture.shutdown.begin(grace * 2);
    CHECK(fixture.shutdown.answers_due() == due);
    fixture.time.advance(milliseconds(3000));
    CHECK(fixture.shutdown.is_complete(1));
}

// Guards against a process that waits on after a suspension as if no time had passed.
TEST_CASE("a process that was suspended beyond its grace period exits at once")
{
    shutdown_fixture fixture;
    fixture.shutdown.begin(grace);
    fixture.time.advance(grace * 3);
    CHECK_FALSE(fixture.shutdown.accepts_connections());
    CHECK(fixture.shutdown.is_complete(1));
}

// Guards against an exit before the requests in progress are answered when the grace period is short.
TEST_CASE("a process with a short grace period doesn't exit at the stop signal")
{
    shutdown_fixture fixture;
    fixture.shutdown.begin(milliseconds(300));
    CHECK_FALSE(fixture.shutdown.is_complete(1));
    CHECK(fixture.shutdown.is_complete(0));
}

// Guards against a process that exits while callers still hold its address.
TEST_CASE("a process without requests goes on accepting connections for most of its grace period")
{
    shutdown_fixture fixture;
    CHECK(fixture.shutdown.accepts_connections());
    CHECK_FALSE(fixture.shutdown.is_complete(0));
    fixture.shutdown.begin(grace);
    fixture.time.advance(milliseconds(3000));
    CHECK(fixture.shutdown.accepts_connections());
    CHECK_FALSE(fixture.shutdown.is_complete(0));
    fixture.time.advance(milliseconds(1000));
    CHECK_FALSE(fixture.shutdown.accepts_connections());
    CHECK(fixture.shutdown.is_complete(0));
}
