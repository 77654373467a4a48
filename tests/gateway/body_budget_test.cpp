#include "gateway/body_budget.h"

#include "core/random_source.h"
#include "core/simulated_clock.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace knapweed;
using namespace knapweed::gateway;

namespace {

constexpr std::uint64_t megabyte = 1000000;
constexpr core::milliseconds time_limit{15000};

core::time_point at(core::milliseconds time)
{
    return core::time_point(time);
}

announced_body make_body(std::optional<std::uint64_t> length, core::milliseconds now = core::milliseconds(0))
{
    return {length, time_limit, at(now)};
}

} // namespace

// Guards against limits that a body of the largest configured size can't meet on a machine of the usual size.
TEST_CASE("half of the memory is for bodies, an eighth of it for small ones only")
{
    const auto limits = make_body_limits(160 * megabyte);
    CHECK(limits.all_bodies == 80 * megabyte);
    CHECK(limits.large_bodies == 70 * megabyte);
}

// Guards against a sum that overflows, and against a body of the exact size that is refused.
TEST_CASE("a body fits up to the limit, and no stated length is too great to be compared")
{
    body_budget budget({1000000, 900000});
    CHECK_FALSE(budget.claim(make_body(900001)).holds());
    CHECK_FALSE(budget.claim(make_body(~std::uint64_t{0})).holds());
    CHECK_FALSE(budget.can_fit(900001));
    const auto whole = budget.claim(make_body(900000));
    CHECK(whole.holds());
    CHECK_FALSE(budget.claim(make_body(~std::uint64_t{0} - 1000)).holds());
    CHECK(budget.claim(make_body(60000)).holds());
}

// Guards against a body in chunks that claims less than the memory that it takes while it is copied.
TEST_CASE("a body in chunks claims twice its size at most, and never less than it has")
{
    body_budget budget(make_body_limits(160 * megabyte));
    auto claim = budget.claim(make_body(std::nullopt));
    for (std::uint64_t arrived = 0; arrived < 20 * megabyte; arrived += 3000) {
        REQUIRE(claim.grow(arrived, 4000, at({})));
        REQUIRE(claim.bytes() >= arrived + 4000);
        REQUIRE(claim.bytes() <= 2 * (arrived + 4000));
    }
    claim.end();
    CHECK(budget.claimed() == 0);
}

// Guards against callers that send slowly and occupy the memory, and against the loss of those that are fast.
TEST_CASE("a body that can't arrive in time at its rate is revoked when another one needs its memory")
{
    body_budget budget({1000000, 900000});
    auto silent = budget.claim(make_body(400000));
    auto fast = budget.claim(make_body(400000));
    auto read = budget.claim(make_body(100000));
    read.body_is_whole();
    REQUIRE(fast.grow(100000, 0, at({})));
    REQUIRE(silent.grow(1, 0, at({})));
    CHECK_FALSE(budget.claim(make_body(300000, core::milliseconds(400))).holds());
    CHECK_FALSE(silent.revoked());
    CHECK_FALSE(budget.claim(make_body(300000, core::milliseconds(1500))).holds());
    CHECK(silent.revoked());
    CHECK_FALSE(fast.revoked());
    CHECK_FALSE(read.revoked());
    CHECK_FALSE(silent.grow(399999, 0, at(core::milliseconds(1500))));
    silent.end();
    CHECK(budget.claim(make_body(300000, core::milliseconds(1600))).holds());
}

// Guards against a body that can never fit and ends the reading of others.
TEST_CASE("a body that can never fit revokes nothing")
{
    body_budget budget({1000000, 900000});
    const auto silent = budget.claim(make_body(400000));
    CHECK_FALSE(budget.claim(make_body(900001, core::milliseconds(5000))).holds());
    CHECK_FALSE(silent.revoked());
}

// Guards against a sum beyond the limits, memory that isn't given back, and small bodies that large ones
// starve.
TEST_CASE("in random schedules the limits hold, everything is given back and small bodies get through")
{
    const auto seed = GENERATE(range(1, 101));
    core::random_source random(static_cast<std::uint64_t>(seed));
    const auto limits = make_body_limits(8 * megabyte);
    body_budget budget(limits);
    struct body {
        body_claim claim;
        std::optional<std::uint64_t> length;
        std::uint64_t arrived = 0;
    };
    std::vector<body> bodies;
    core::milliseconds now{0};
    for (int step = 0; step < 2000; ++step) {
        now += core::milliseconds(random.below(50));
        const bool large = random.below(4) != 0;
        if (random.below(2) == 0) {
            const auto length = large ? max_small_body_bytes + 1 + random.below(4 * megabyte)
                                      : 1 + random.below(max_small_body_bytes);
            const bool chunked = random.below(3) == 0;
            body added;
            if (!chunked)
                added.length = length;
            added.claim = budget.claim(make_body(added.length, now));
            if (added.claim.holds())
                bodies.push_back(std::move(added));
        }
        else if (!bodies.empty()) {
            const auto index = random.below(bodies.size());
            auto& chosen = bodies[index];
            chosen.arrived =
                std::min(chosen.arrived + random.below(megabyte), chosen.length.value_or(~std::uint64_t{0}));
            const bool fits = chosen.claim.grow(chosen.arrived, 4096, at(now));
            if (fits && random.below(5) == 0)
                chosen.claim.body_is_whole();
            if (!fits || random.below(3) == 0)
                bodies.erase(bodies.begin() + static_cast<std::ptrdiff_t>(index));
        }
        std::uint64_t sum = 0;
        std::uint64_t sum_of_large = 0;
        for (const auto& held : bodies) {
            sum += held.claim.bytes();
            sum_of_large += held.claim.bytes() > max_small_body_bytes ? held.claim.bytes() : 0;
        }
        REQUIRE(budget.claimed() == sum);
        REQUIRE(sum <= limits.all_bodies);
        REQUIRE(sum_of_large <= limits.large_bodies);
        if (sum - sum_of_large + max_small_body_bytes <= limits.all_bodies - limits.large_bodies)
            REQUIRE(budget.claim(make_body(max_small_body_bytes, now)).holds());
    }
    bodies.clear();
    REQUIRE(budget.claimed() == 0);
    REQUIRE(budget.claim(make_body(limits.large_bodies, now)).holds());
}
