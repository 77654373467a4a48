#include "gateway/caller_session.h"
#include "gateway/gateway_metrics.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace knapweed;
using namespace knapweed::gateway;

namespace {

struct request_counts {
    int waiting = 0;
    int taken = 0;
};

/** Takes a request as one whose answer is written in parts, and never answers it. */
net::asio::awaitable<void> hold_request(std::shared_ptr<caller_exchange> exchange,
                                        std::shared_ptr<request_counts> counts)
{
    ++counts->waiting;
    const bool may_be_passed_on = co_await exchange->wait_to_pass_on();
    --counts->waiting;
    if (!may_be_passed_on)
        co_return;
    exchange->pass_on(true);
    ++counts->taken;
}

/** A session whose requests are held, on an event loop that the test runs. */
class held_session {
public:
    held_session()
    {
        caller_.connect(acceptor_.local_endpoint());
        session_ = std::make_shared<caller_session>(acceptor_.accept(), context_);
        boost::asio::co_spawn(io_, session_->run(), [session = session_](const std::exception_ptr&) {});
    }

    boost::asio::io_context& loop() { return io_; }
    caller_session& session() { return *session_; }
    net::tcp::socket& caller() { return caller_; }
    [[nodiscard]] const request_counts& counts() const { return *counts_; }
    /** @returns whether nothing but this test keeps the session. */
    [[nodiscard]] bool ended() const { return session_.use_count() == 1; }

    void send_requests(int number)
    {
        std::string text;
        for (int i = 0; i < number; ++i)
            text += "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
        boost::asio::write(caller_, boost::asio::buffer(text));
    }

private:
    body_budget bodies_{make_body_limits(16000000)};
    boost::asio::io_context io_{1};
    net::tcp::acceptor acceptor_{io_, {boost::asio::ip::address_v4::loopback(), 0}};
    net::tcp::socket caller_{io_};
    core::boot_clock time_;
    gateway_metrics metrics_;
    graceful_shutdown shutdown_{time_};
    std::shared_ptr<request_counts> counts_ = std::make_shared<request_counts>();
    std::shared_ptr<session_context> context_ = std::make_shared<session_context>(session_context{
        time_, metrics_, shutdown_, bodies_, [] { return steering::caller_limits{}; },
        [counts = counts_](auto exchange) { return hold_request(std::move(exchange), counts); },
        [](std::string_view) {}});
    std::shared_ptr<caller_session> session_;
};

} // namespace

// Guards against a request that waits for ever, or is passed on, because its connection is closed between its
// arrival and its start.
TEST_CASE("no request is taken from a connection that has been closed, whenever it is closed")
{
    constexpr int steps = 40;
    for (int step = 0; step < steps; ++step) {
        held_session held;
        held.send_requests(4);
        for (int i = 0; i < step; ++i)
            held.loop().poll_one();
        held.session().close();
        const int taken_before = held.counts().taken;
        held.loop().poll();
        INFO("closed after step " << step);
        CHECK(held.counts().waiting == 0);
        CHECK(held.counts().taken == taken_before);
        CHECK(held.ended());
    }
}

// Guards against requests that are held for a caller that has left, because a session with many unanswered
// requests doesn't read.
TEST_CASE("a session that reads no more requests notices that its caller has left")
{
    constexpr int more_than_are_taken = 40;
    held_session held;
    held.send_requests(more_than_are_taken);
    held.loop().poll();
    REQUIRE(held.counts().waiting > 1);
    held.caller().close();
    held.loop().poll();
    held.session().check_timeouts();
    held.loop().poll();
    CHECK(held.counts().waiting == 0);
    CHECK(held.ended());
}
