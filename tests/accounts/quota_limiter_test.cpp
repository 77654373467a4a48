#include "quota_fleet.h"

#include <catch2/catch.hpp>
#include <cstdio>

using namespace knapweed;
using namespace knapweed::test;
using core::milliseconds;

namespace {

constexpr std::size_t instances = 91;
/** Usual demand of an account, as a part of its quota. */
constexpr double usual_share = 1 / 1.6;
constexpr double hot_factor = 7.5;
/** Requests that may be refused although the account stays below its quota. */
constexpr double tolerated_refusals = 0.05;
/** Of an account with a few requests a second, a few refusals are many per cent. */
constexpr double tolerated_single_refusals = 5;

/** Quotas of accounts in requests per second, from the smallest to the largest ones of 88 accounts. */
const std::vector<double> sizes{3.3, 10, 30, 100, 300, 700};

/** The clients of an account, each connected to one instance. */
class clients {
public:
    clients(quota_fleet& fleet, std::size_t number) : fleet_(fleet), places_(number) { move(); }

    /** Connects all clients to other instances. */
    void move()
    {
        for (auto& place : places_)
            place = fleet_.random().below(fleet_.size());
    }
    [[nodiscard]] std::size_t operator()() const { return places_[fleet_.random().below(places_.size())]; }

private:
    quota_fleet& fleet_;
    std::vector<std::size_t> places_;
};

/** @returns as many clients as an account of this size has; the smallest ones have three. */
clients make_clients(quota_fleet& fleet, double per_second)
{
    return {fleet, std::max<std::size_t>(3, static_cast<std::size_t>(per_second / 2))};
}

void require_few_refusals(const char* what, double size, const quota_fleet& fleet)
{
    std::printf("quota %5.1f, %s: %zu of %zu refused below the quota\n", size, what, fleet.refused(),
                fleet.arrived());
    CAPTURE(what, size);
    CHECK(static_cast<double>(fleet.refused()) <=
          tolerated_refusals * static_cast<double>(fleet.arrived()) + tolerated_single_refusals);
}

void require_tolerated(const char* what, double size, const quota_fleet& fleet)
{
    std::printf("quota %5.1f, %s: %zu in 5 s, %.0f tolerated\n", size, what, fleet.most_in_window(),
                fleet.tolerated());
    CAPTURE(what, size);
    CHECK(static_cast<double>(fleet.most_in_window()) <= fleet.tolerated());
}

} // namespace

// Guards against refusals below the quota, with skewed demand, when it rises, and when an account moves.
TEST_CASE("an account below its quota is refused at most a few per cent, also when its clients move")
{
    for (const double size : sizes) {
        quota_fleet fleet(instances, {size, size}, 1);
        const double usual = size * usual_share;
        auto at = make_clients(fleet, usual);
        fleet.play(milliseconds(4000), usual, std::ref(at));
        fleet.reset_counts();
        fleet.play(milliseconds(10000), usual, std::ref(at));
        require_few_refusals("steady", size, fleet);
        fleet.reset_counts();
        fleet.play(milliseconds(6000), usual * 1.4, std::ref(at));
        require_few_refusals("risen by 0.4", size, fleet);
        fleet.play(milliseconds(5000), usual, std::ref(at));
        at.move();
        fleet.reset_counts();
        fleet.play(milliseconds(5000), usual, std::ref(at));
        require_few_refusals("moved", size, fleet);
    }
}

// Guards against an excess while instances have not yet heard of each other's requests.
TEST_CASE("an account that jumps to 7.5 times its usual rate stays within the tolerance in any window")
{
    for (const double size : sizes) {
        const double usual = size * usual_share;
        quota_fleet skewed(instances, {size, size}, 2);
        auto at = make_clients(skewed, usual);
        skewed.play(milliseconds(6000), usual, std::ref(at));
        skewed.forget();
        skewed.play(milliseconds(6500), usual * hot_factor, std::ref(at));
        require_tolerated("hot, on few instances", size, skewed);
        skewed.play(milliseconds(6000), usual, std::ref(at));
        skewed.reset_counts();
        skewed.play(milliseconds(4000), usual, std::ref(at));
        require_few_refusals("after it was hot", size, skewed);
        quota_fleet even(instances, {size, size}, 3);
        even.play(milliseconds(6000), usual);
        even.forget();
        even.play(milliseconds(6500), usual * hot_factor);
        require_tolerated("hot, on all instances", size, even);
    }
}

// Guards against instances that take over the parts of all others when they are cut off from them.
TEST_CASE("a hot account stays within the tolerance while instances are cut off from the others")
{
    for (const double size : sizes) {
        const double usual = size * usual_share;
        quota_fleet fleet(instances, {size, size}, 4);
        fleet.play(milliseconds(6000), usual);
        for (std::size_t i = 0; i < instances / 5; ++i)
            fleet.set_cut(i, true);
        fleet.play(milliseconds(500), usual);
        fleet.forget();
        fleet.play(milliseconds(8000), usual * hot_factor);
        require_tolerated("hot, a fifth of the instances cut off", size, fleet);
    }
}

// Guards against instances that begin with the whole burst each after a restart.
TEST_CASE("a hot account stays within the tolerance while instances restart one after the other")
{
    for (const double size : sizes) {
        const double usual = size * usual_share;
        quota_fleet fleet(instances, {size, size}, 5);
        fleet.play(milliseconds(6000), usual);
        fleet.play(milliseconds(3000), usual * hot_factor);
        fleet.forget();
        for (std::size_t i = 0; i < instances; ++i) {
            fleet.restart(i);
            fleet.play(milliseconds(80), usual * hot_factor);
        }
        require_tolerated("hot, during a rolling restart", size, fleet);
    }
}

// Guards against a limit that grows with the number of instances.
TEST_CASE("a hot account stays within the tolerance when the number of instances doubles")
{
    for (const double size : sizes) {
        const double usual = size * usual_share;
        quota_fleet fleet(instances, {size, size}, 6);
        fleet.play(milliseconds(6000), usual);
        fleet.forget();
        for (std::size_t i = 0; i < instances; ++i) {
            fleet.add_instance();
            fleet.play(milliseconds(50), usual * hot_factor);
        }
        require_tolerated("hot, while the instances double", size, fleet);
    }
}

// Guards against a lowered limit that binds late.
TEST_CASE("a lowered quota binds within the time of one window")
{
    for (const double size : sizes) {
        const double usual = size * usual_share;
        quota_fleet fleet(instances, {size, size}, 7);
        fleet.play(milliseconds(6000), usual);
        fleet.set_limit({usual / 4, usual / 4});
        fleet.play(milliseconds(5000), usual);
        fleet.forget();
        fleet.play(milliseconds(8000), usual);
        require_tolerated("lowered to a quarter of the demand", size, fleet);
    }
}

// Guards against refusals of accounts without a quota, and of all accounts of a single instance.
TEST_CASE("an account without a quota is never refused, and a single instance has the whole quota")
{
    quota_fleet unlimited(3, {0, 0}, 8);
    unlimited.play(milliseconds(3000), 500);
    REQUIRE(unlimited.refused() == 0);
    quota_fleet single(1, {50, 50}, 9);
    single.play(milliseconds(5000), 45);
    require_few_refusals("a single instance", 50, single);
}
