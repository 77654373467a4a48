#include "gateway/caller_listener.h"
#include "gateway/gateway_metrics.h"
#include "net/upstream_fake.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <stdexcept>
#include <thread>

using namespace knapweed;
using namespace knapweed::gateway;
using test::test_client;

namespace {

constexpr core::milliseconds grace_period{6000};

const std::string request_head = "GET /orders/1 HTTP/1.1\r\nHost: shop.example\r\n";

/** A listener whose tasks run only when the test says so. */
class stopped_listener {
public:
    stopped_listener()
        : context(std::make_shared<session_context>(
              session_context{time, metrics, shutdown, bodies, [] { return steering::caller_limits{}; },
                              [](auto exchange) { return answer(std::move(exchange)); },
                              [this](std::string_view error) { errors.emplace_back(error); }})),
          listener(io.get_executor(), context, 64)
    {
        REQUIRE_FALSE(listener.listen({boost::asio::ip::address_v4::loopback(), 0}));
    }
    stopped_listener(const stopped_listener&) = delete;
    stopped_listener& operator=(const stopped_listener&) = delete;
    ~stopped_listener()
    {
        if (thread.joinable())
            thread.join();
    }

    /** Runs tasks until a condition holds. */
    void run_until(const std::function<bool()>& condition)
    {
        while (!condition())
            io.run_one();
    }
    /** Begins a graceful shutdown, stops accepting, and then runs all tasks to their end on another thread.
     */
    void stop_and_run()
    {
        shutdown.begin(grace_period);
        listener.stop_accepting();
        thread = std::thread([this] { io.run(); });
    }

    body_budget bodies{make_body_limits(160000000)};
    boost::asio::io_context io{1};
    core::boot_clock time;
    graceful_shutdown shutdown{time};
    gateway_metrics metrics;
    std::vector<std::string> errors;
    std::shared_ptr<session_context> context;
    caller_listener listener;
    std::thread thread;

private:
    static net::asio::awaitable<void> answer(std::shared_ptr<caller_exchange> exchange)
    {
        if (exchange->request().path() == "/unexpected")
            throw std::runtime_error("not expected");
        const answer_head head{200, "OK", "", {}};
        co_await exchange->answer(head, "done");
    }
};

bool is_last_answer(const std::string& answer)
{
    return answer.starts_with("HTTP/1.1 200 OK\r\n") &&
           answer.find("Connection: close\r\n") != std::string::npos && answer.ends_with("done");
}

} // namespace

// Guards against requests in the listen queue that are reset when an instance stops accepting connections.
TEST_CASE("a request on a connection that was not accepted yet is answered during a planned stop")
{
    stopped_listener stopping;
    test_client first(stopping.listener.port());
    test_client second(stopping.listener.port());
    first.send(request_head + "\r\n");
    second.send(request_head + "\r\n");
    stopping.stop_and_run();
    CHECK(is_last_answer(first.read_to_end()));
    CHECK(is_last_answer(second.read_to_end()));
}

// Guards against a request that arrived just before the stop on an accepted connection and is dropped unread.
TEST_CASE("a request that has arrived on an idle connection is answered during a planned stop")
{
    stopped_listener stopping;
    test_client client(stopping.listener.port());
    stopping.run_until([&stopping] { return stopping.listener.sessions() == 1; });
    stopping.io.poll(); // the connection is waiting for a request
    client.send(request_head + "\r\n");
    SECTION("before it is read")
    {
        stopping.stop_and_run();
    }
    SECTION("after the system has announced it")
    {
        stopping.io.poll_one();
        stopping.stop_and_run();
    }
    CHECK(is_last_answer(client.read_to_end()));
}

// Guards against a half-read request that is dropped by a stop.
TEST_CASE("a request of which only a part has arrived is answered during a planned stop")
{
    stopped_listener stopping;
    test_client client(stopping.listener.port());
    client.send(request_head);
    stopping.run_until([&stopping] { return stopping.listener.sessions() == 1; });
    stopping.io.poll();
    stopping.stop_and_run();
    client.send("\r\n");
    CHECK(is_last_answer(client.read_to_end()));
}

// Guards against idle connections that keep a stopping process from ending early.
TEST_CASE("idle connections are closed by a planned stop")
{
    stopped_listener stopping;
    test_client client(stopping.listener.port());
    stopping.run_until([&stopping] { return stopping.listener.sessions() == 1; });
    stopping.io.poll();
    stopping.stop_and_run();
    CHECK(client.read_to_end().empty());
}

// Guards against an unexpected error in one request that ends the process with all other requests.
TEST_CASE("an exception while a request is answered closes its connection only")
{
    stopped_listener running;
    test_client failing(running.listener.port());
    test_client other(running.listener.port());
    failing.send("GET /unexpected HTTP/1.1\r\nHost: shop.example\r\n\r\n");
    running.run_until([&running] { return !running.errors.empty(); });
    other.send(request_head + "\r\n");
    running.stop_and_run();
    CHECK(failing.read_to_end().empty());
    CHECK(is_last_answer(other.read_to_end()));
    CHECK(running.errors == std::vector<std::string>{"not expected"});
}
