#include "decision/crash_guard.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using namespace knapweed::decision;
using namespace std::chrono_literals;

namespace {

constexpr core::fingerprint harmless{1};
constexpr core::fingerprint crashing{2};

} // namespace

// Guards against quarantining a harmless request that shared a server with one that crashed it.
TEST_CASE("a fingerprint is quarantined after the second death of a server that ran only its request")
{
    core::simulated_clock time;
    crash_guard guard{time};
    for (int i = 0; i < 5; ++i)
        REQUIRE_FALSE(guard.server_died({{harmless, crashing}, false}));
    REQUIRE(guard.is_suspect(harmless));
    guard.succeeded(harmless);
    REQUIRE_FALSE(guard.is_suspect(harmless));
    REQUIRE_FALSE(guard.server_died({{crashing}, true}));
    const auto notice = guard.server_died({{crashing}, true});
    REQUIRE(notice);
    REQUIRE(guard.is_quarantined(crashing));
    REQUIRE_FALSE(guard.is_quarantined(harmless));

    crash_guard peer{time};
    REQUIRE(peer.receive(*notice));
    time.advance(10min);
    REQUIRE_FALSE(guard.is_quarantined(crashing));
    REQUIRE_FALSE(peer.is_quarantined(crashing));
}

// Guards against a late notice that restores a quarantine after an operator has lifted it.
TEST_CASE("a lifted quarantine stays lifted when its notice arrives again")
{
    core::simulated_clock time;
    crash_guard guard{time};
    (void)guard.server_died({{crashing}, true});
    const auto notice = guard.server_died({{crashing}, true});
    crash_guard peer{time};
    REQUIRE(peer.receive(*notice));
    const auto lifted = guard.release(crashing);
    REQUIRE(lifted);
    REQUIRE_FALSE(peer.receive(*lifted));
    REQUIRE_FALSE(peer.is_quarantined(crashing));
    REQUIRE_FALSE(peer.receive(*notice));
    REQUIRE_FALSE(peer.is_quarantined(crashing));
    REQUIRE_FALSE(guard.release(crashing));
}

// Guards against memory use that grows with the number of crashing requests.
TEST_CASE("the table of suspects never exceeds its capacity")
{
    core::simulated_clock time;
    crash_guard_options options;
    options.capacity = 10;
    crash_guard guard{time, options};
    for (std::uint64_t i = 1; i <= 100; ++i) {
        time.advance(1s);
        (void)guard.server_died({{{i}, {i + 1000}}, false});
    }
    REQUIRE(guard.suspects() == 10);
    REQUIRE(guard.is_suspect({100}));
}
