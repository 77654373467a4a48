#include "state/state.h"

#include <catch2/catch.hpp>
#include <cmath>

using namespace knapweed;
using namespace std::chrono_literals;

namespace {

const core::data_centre_id a{"a"};
const core::data_centre_id b{"b"};
const core::data_centre_id c{"c"};
constexpr double tolerance = 1e-9;

struct observed_move {
    core::time_point time;
    double amount = 0;
    state::shift_cap cap; ///< in force at that time
};

double moved_between(const state::weight_map& from, const state::weight_map& to)
{
    double sum = 0;
    for (const auto& name : {a, b, c}) {
        const auto weight = [&name](const auto& map) { return map.contains(name) ? map.at(name) : 0.0; };
        sum += std::abs(weight(from) - weight(to));
    }
    return sum / 2;
}

/** Checks by brute force every window that ends at a move. */
void check_all_windows(const std::vector<observed_move>& moves)
{
    for (std::size_t last = 0; last < moves.size(); ++last) {
        double sum = 0;
        for (std::size_t i = last + 1; i-- > 0 && moves[last].time - moves[i].time <= moves[last].cap.window;)
            sum += moves[i].amount;
        INFO("move " << last << " of " << moves[last].amount);
        REQUIRE(sum <= moves[last].cap.share + tolerance);
    }
}

/** Runs a limiter with random targets, caps, requests and spills.
    @returns the moves and spills; a spill is weighted by the exact number of requests in the window. */
std::vector<observed_move> random_history(std::uint64_t seed)
{
    core::simulated_clock time;
    core::random_source random{seed};
    state::shift_cap cap{0.2, 10000ms};
    state::shift_limiter limiter{cap, time};
    limiter.set_target({{a, 1}, {b, 1}});
    std::vector<observed_move> moves;
    std::vector<core::time_point> requests;
    for (int step = 0; step < 3000; ++step) {
        // Steps of 250 ms, which divide the windows evenly, place moves exactly on the edges of windows.
        time.advance(random.below(4) == 0 ? core::milliseconds{random.below(700)} : 250ms);
        if (random.below(60) == 0) {
            cap = {0.02 + random.fraction() * 0.5, core::milliseconds{1000 * (1 + random.below(12))}};
            limiter.set_cap(cap);
        }
        if (random.below(20) == 0)
            limiter.set_target(
                {{a, random.fraction()}, {b, random.fraction()}, {c, random.below(2) == 0 ? 0.5 : 0.0}});
        const auto before = limiter.weights();
        limiter.tick();
        const double moved = moved_between(before, limiter.weights());
        if (moved > tolerance)
            moves.push_back({time.now(), moved, cap});
        for (std::uint64_t i = random.below(8); i > 0; --i) {
            REQUIRE(limiter.next());
            requests.push_back(time.now());
            if (!limiter.try_spill(core::all_ranks.at(random.below(3))))
                continue;
            const auto in_window = std::count_if(requests.begin(), requests.end(),
                                                 [&](auto sent) { return time.now() - sent <= cap.window; });
            moves.push_back({time.now(), 1.0 / static_cast<double>(in_window), cap});
        }
    }
    return moves;
}

} // namespace

// Guards the invariant shift_within_cap against bursts on both sides of a window's edge, and against caps and
// targets that change during a shift.
TEST_CASE("no window moves more than the cap, whatever its alignment")
{
    std::size_t moves = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        const auto history = random_history(seed);
        check_all_windows(history);
        moves += history.size();
    }
    REQUIRE(moves > 10000);
}

// Guards against a limiter that stays within the cap because it never moves any weight.
TEST_CASE("all weight leaves a failed data centre as fast as the cap allows")
{
    core::simulated_clock time;
    state::shift_limiter limiter{{0.2, 10000ms}, time};
    limiter.set_target({{a, 1}, {b, 1}});
    limiter.set_target({{b, 1}});
    for (int i = 0; i < 205; ++i) {
        limiter.tick();
        time.advance(100ms);
    }
    limiter.tick();
    REQUIRE_FALSE(limiter.is_shifting());
    REQUIRE(limiter.weights() == state::weight_map{{b, 1.0}});
}

// Guards against a raised cap that discards the moves already made in the window, and against a lowered cap
// that takes effect only in the next window.
TEST_CASE("a raised cap allows only the difference to move and a lowered one takes effect at once")
{
    core::simulated_clock time;
    state::shift_limiter limiter{{0.2, 10000ms}, time};
    limiter.set_target({{a, 1}});
    limiter.set_target({{b, 1}});
    limiter.tick();
    REQUIRE(limiter.weights().at(b) == Approx(0.2));
    limiter.set_cap({0.3, 10000ms});
    limiter.tick();
    REQUIRE(limiter.weights().at(b) == Approx(0.3));
    limiter.set_cap({0.1, 10000ms});
    time.advance(10000ms);
    limiter.tick();
    REQUIRE(limiter.weights().at(b) == Approx(0.3));
    time.advance(1ms);
    limiter.tick();
    REQUIRE(limiter.weights().at(b) == Approx(0.4));
}

// Guards against a longer window that omits the moves made under the shorter one.
TEST_CASE("a longer window counts the moves made before it was set")
{
    core::simulated_clock time;
    state::shift_limiter limiter{{0.2, 1000ms}, time};
    limiter.set_target({{a, 1}});
    limiter.set_target({{b, 1}});
    limiter.tick();
    time.advance(5s);
    limiter.set_cap({0.2, 10000ms});
    limiter.tick();
    REQUIRE(limiter.weights().at(b) == Approx(0.2));
}

// Guards against requests of lower ranks that use up the spills of urgent requests.
TEST_CASE("spills may use the whole remaining cap for urgent, three quarters for standard and half for bulk")
{
    core::simulated_clock time;
    const auto spilled = [&time](core::rank rank) {
        state::shift_limiter limiter{{0.2, 10000ms}, time};
        limiter.set_target({{a, 1}});
        for (int i = 0; i < 1000; ++i)
            REQUIRE(limiter.next());
        int count = 0;
        while (limiter.try_spill(rank))
            ++count;
        return count;
    };
    REQUIRE(spilled(core::rank::urgent) == 200);
    REQUIRE(spilled(core::rank::standard) == 150);
    REQUIRE(spilled(core::rank::bulk) == 100);
    state::shift_limiter idle{{0.2, 10000ms}, time};
    idle.set_target({{a, 1}});
    REQUIRE(idle.next());
    REQUIRE_FALSE(idle.try_spill(core::rank::urgent)); // the only request counts as the whole weight
}

// Guards against a replaced instance that starts with the target weights and so moves its traffic at once.
TEST_CASE("a new instance starts with the mean of its peers' weights and then moves within the cap")
{
    core::simulated_clock time;
    state::shift_limiter limiter{{0.2, 10000ms}, time};
    REQUIRE_FALSE(limiter.adopt({}));
    REQUIRE(limiter.adopt({{{a, 0.9}, {b, 0.1}}, {{a, 0.7}, {b, 0.3}}}));
    REQUIRE_FALSE(limiter.adopt({{{b, 1.0}}}));
    limiter.set_target({{b, 1}});
    limiter.tick();
    REQUIRE(limiter.weights().at(b) == Approx(0.4));
}

// Guards against a selection whose shares deviate from the weights, or that selects a place in bursts.
TEST_CASE("after every request the selections match the weights to within one request")
{
    core::simulated_clock time;
    state::shift_limiter limiter{{0.2, 10000ms}, time};
    limiter.set_target({{a, 5}, {b, 3}, {c, 2}});
    std::map<core::data_centre_id, int> counts;
    for (int i = 1; i <= 1000; ++i) {
        ++counts[*limiter.next()];
        REQUIRE(std::abs(counts[a] - i * 0.5) <= 1.0);
        REQUIRE(std::abs(counts[c] - i * 0.2) <= 1.0);
    }
}
