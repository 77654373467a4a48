#include "state/state.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using namespace std::chrono_literals;
using state::platform_status;

namespace {

struct client_fixture {
    core::simulated_clock time;
    state::platform_client client{{}, time, 7};
    std::vector<platform_status> ended;

    bool submit(state::platform_operation operation,
                state::call_priority priority = state::call_priority::normal)
    {
        return client.submit(
            std::move(operation),
            [this](const state::platform_reply& reply) { ended.push_back(reply.status); }, priority);
    }
    std::vector<state::platform_call> tick(core::milliseconds step = 0ms)
    {
        time.advance(step);
        std::vector<state::platform_call> calls;
        client.tick(calls);
        return calls;
    }
    void reply(core::call_id call, platform_status status)
    {
        state::platform_reply answer;
        answer.call = call;
        answer.status = status;
        client.replied(answer);
    }
};

const state::row_read some_read{"t", "k"};
const state::row_transaction some_write{{}, {{"t", "k", "v"}}};

} // namespace

// Guards against an operation that never completes, and against a late reply that completes it twice.
TEST_CASE_METHOD(client_fixture, "a call without a reply completes once, as timed_out at its deadline")
{
    REQUIRE(submit(some_read));
    const auto calls = tick();
    REQUIRE(calls.size() == 1);
    tick(999ms);
    REQUIRE(ended.empty());
    tick(1ms);
    REQUIRE(ended == std::vector{platform_status::timed_out});
    reply(calls[0].call, platform_status::ok);
    REQUIRE(ended.size() == 1);
}

// Guards against polls that use all calls to a slow store while an operator waits.
TEST_CASE_METHOD(client_fixture, "a change is sent while polls wait for their replies")
{
    for (int i = 0; i < 6; ++i)
        REQUIRE(submit(some_read, state::call_priority::poll));
    REQUIRE(tick().size() == 3);
    REQUIRE(submit(some_write, state::call_priority::change));
    const auto calls = tick();
    REQUIRE(calls.size() == 1);
    REQUIRE(std::holds_alternative<state::row_transaction>(calls[0].operation));
    REQUIRE(client.in_flight() == 4);
}

// Guards against memory use that grows during a long outage.
TEST_CASE_METHOD(client_fixture,
                 "the waiting list is bounded, and calls that wait too long complete as unreachable")
{
    for (int i = 0; i < 64; ++i)
        REQUIRE(submit(some_read));
    REQUIRE_FALSE(submit(some_read));
    for (const auto& call : tick())
        reply(call.call, platform_status::unreachable);
    ended.clear();
    time.advance(1s);
    tick();
    REQUIRE(ended.size() >= 60);
    REQUIRE(std::all_of(ended.begin(), ended.end(),
                        [](auto status) { return status == platform_status::unreachable; }));
}

// Guards against instances that overload a store which is down, or that all resume at the same time.
TEST_CASE("after failures calls back off with a jitter that depends on the seed")
{
    const auto sent_at = [](std::uint64_t seed) {
        core::simulated_clock time;
        state::platform_client client{{}, time, seed};
        const auto start = time.now();
        std::vector<core::duration> sent;
        std::vector<state::platform_call> calls;
        for (int i = 0; i < 3000; ++i) {
            if (client.waiting() == 0 && client.in_flight() == 0)
                REQUIRE(client.submit(some_read, [](const state::platform_reply&) {}));
            calls.clear();
            client.tick(calls);
            REQUIRE(calls.size() <= 1);
            for (const auto& call : calls) {
                sent.push_back(time.now() - start);
                state::platform_reply reply;
                reply.call = call.call;
                reply.status = platform_status::unreachable;
                client.replied(reply);
            }
            time.advance(10ms);
        }
        return sent;
    };
    const auto first = sent_at(1);
    REQUIRE(first.size() >= 6);
    REQUIRE(first.size() <= 12); // 30 s of outage
    REQUIRE(first == sent_at(1));
    REQUIRE(first != sent_at(2));
}

// Guards against a single instance that uses up the platform's capacity.
TEST_CASE_METHOD(client_fixture, "reads stay within the rate limit over 10 s")
{
    int sent = 0;
    for (int i = 0; i < 1000; ++i) {
        while (client.waiting() < 10)
            REQUIRE(submit(some_read));
        for (const auto& call : tick(10ms)) {
            ++sent;
            reply(call.call, platform_status::ok);
        }
    }
    REQUIRE(sent >= 95);
    REQUIRE(sent <= 104); // 10 s of 10 reads/s and a burst of 4
}
