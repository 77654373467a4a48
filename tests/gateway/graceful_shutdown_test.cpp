#include "gateway/connection_lifetime.h"

#include <catch2/catch.hpp>
#include <deque>
#include <random>

using namespace knapweed;
using namespace knapweed::gateway;
using core::milliseconds;

namespace {

constexpr milliseconds grace{6000};

struct shutdown_fixture {
    core::simulated_clock time;
    graceful_shutdown shutdown{time};
};

/** Random schedules of requests, answers, delays and stop signals on the connections of one process. Callers
    send whenever they like, also before earlier requests are answered. */
class shutdown_schedule {
public:
    explicit shutdown_schedule(unsigned seed) : random_(seed), connections_(8, connection(shutdown_)) {}

    void play()
    {
        const auto signal_at = time_.now() + milliseconds(below(1000));
        while (!ended_) {
            time_.advance(milliseconds(1 + below(20)));
            if (time_.now() >= signal_at && (!shutdown_.begun() || below(50) == 0))
                signal();
            for (auto& one : connections_)
                move(one);
            const bool all_ended = std::all_of(connections_.begin(), connections_.end(),
                                               [](const auto& one) { return one.closed; });
            ended_ = shutdown_.is_complete(all_ended ? 0 : 1);
        }
        CHECK(time_.now() < *began_ + grace);
        for (const auto& one : connections_)
            CHECK(one.unanswered.empty());
    }

private:
    struct request {
        core::time_point answered_at;
        std::optional<core::time_point> written_at; ///< end of an answer whose head is written
        bool closes = false;
    };
    struct connection {
        explicit connection(const graceful_shutdown& shutdown) : lifetime(shutdown) {}

        connection_lifetime lifetime;
        std::deque<request> unanswered;
        bool closed = false;
    };

    int below(int limit) { return std::uniform_int_distribution<int>(0, limit - 1)(random_); }

    void signal()
    {
        shutdown_.begin(grace);
        if (!began_)
            began_ = time_.now();
    }

    void move(connection& one)
    {
        if (one.closed)
            return;
        if (below(4) == 0)
            receive(one);
        answer_next(one);
        if (!one.closed && one.unanswered.empty() && !shutdown_.accepts_connections())
            one.closed = true; // idle
    }

    void receive(connection& one)
    {
        if (!one.lifetime.takes_requests()) {
            const bool closing = !one.unanswered.empty();
            CHECK(closing); // otherwise nothing would ever close the connection
            return;
        }
        one.lifetime.request_taken(below(30) != 0);
        const milliseconds time_limit(1 + below(3000));
        const auto due = shutdown_.answers_due();
        const bool refused = due && time_.now() + time_limit > *due;
        one.unanswered.push_back({time_.now() + (refused ? milliseconds(0) : time_limit), {}, false});
    }

    void answer_next(connection& one)
    {
        if (one.unanswered.empty())
            return;
        auto& next = one.unanswered.front();
        if (!next.written_at && time_.now() >= next.answered_at) {
            next.closes = one.lifetime.next_answer_closes();
            next.written_at = time_.now() + milliseconds(below(100));
        }
        if (!next.written_at || time_.now() < *next.written_at)
            return;
        one.closed = next.closes;
        one.unanswered.pop_front();
        if (one.closed)
            CHECK(one.unanswered.empty()); // a request was taken behind the closing answer
    }

    std::mt19937 random_;
    core::simulated_clock time_;
    graceful_shutdown shutdown_{time_};
    std::vector<connection> connections_;
    std::optional<core::time_point> began_;
    bool ended_ = false;
};

} // namespace

// Guards against requests that are taken in a planned stop and cut at the exit, in any order of events.
TEST_CASE("whatever is taken around a stop signal is answered before the exit")
{
    for (unsigned seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        shutdown_schedule(seed).play();
    }
}

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

// Guards against a connection that waits for a close that its answer in progress can't announce any more.
TEST_CASE("a connection whose answer in progress promised to go on takes one more request in a planned stop")
{
    shutdown_fixture fixture;
    connection_lifetime lifetime(fixture.shutdown);
    lifetime.request_taken(true);
    CHECK_FALSE(lifetime.next_answer_closes());
    fixture.shutdown.begin(grace);
    REQUIRE(lifetime.takes_requests());
    lifetime.request_taken(true);
    CHECK_FALSE(lifetime.takes_requests());
    CHECK(lifetime.next_answer_closes());
    CHECK_FALSE(lifetime.takes_requests());
}
