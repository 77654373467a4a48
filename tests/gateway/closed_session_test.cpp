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

} // namespace

// Guards against a request that waits for ever, or is passed on, because its connection is closed between its
// arrival and its start.
TEST_CASE("no request is taken from a connection that has been closed, whenever it is closed")
{
    constexpr int steps = 40;
    const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    for (int step = 0; step < steps; ++step) {
        const auto counts = std::make_shared<request_counts>();
        boost::asio::io_context io{1};
        net::tcp::acceptor acceptor(io, {boost::asio::ip::address_v4::loopback(), 0});
        net::tcp::socket caller(io);
        caller.connect(acceptor.local_endpoint());
        const core::boot_clock time;
        gateway_metrics metrics;
        const graceful_shutdown shutdown(time);
        const auto context = std::make_shared<session_context>(
            session_context{time, metrics, shutdown, [] { return steering::caller_limits{}; },
                            [counts](auto exchange) { return hold_request(std::move(exchange), counts); },
                            [](std::string_view) {}});
        auto session = std::make_shared<caller_session>(acceptor.accept(), context);
        boost::asio::write(caller, boost::asio::buffer(request + request + request + request));
        boost::asio::co_spawn(io, session->run(), [session](const std::exception_ptr&) {});
        for (int i = 0; i < step; ++i)
            io.poll_one();
        session->close();
        session.reset();
        const int taken_before = counts->taken;
        io.poll();
        INFO("closed after step " << step);
        CHECK(counts->waiting == 0);
        CHECK(counts->taken == taken_before);
        CHECK(context->sessions == 0);
    }
}
