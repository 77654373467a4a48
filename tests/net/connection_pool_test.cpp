#include "net/connection_pool.h"

#include "core/boot_clock.h"
#include "net/upstream_fake.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace knapweed;
using namespace knapweed::test;

namespace {

class opened_connections final : public net::counter_sink {
public:
    void add(net::counter which, std::uint64_t amount) override
    {
        if (which == net::counter::upstream_connections_opened)
            opened += amount;
    }

    std::uint64_t opened = 0;
};

/** A pool whose connections lead to a server that answers everything. */
class pool_fixture {
public:
    using connection_pointer = std::unique_ptr<net::client_connection>;

    [[nodiscard]] connection_pointer acquire(std::uint64_t id_hash, std::size_t limit = 16,
                                             core::duration longest_idle = std::chrono::seconds(60))
    {
        return pool.acquire(server.address(), limit, longest_idle, id_hash);
    }

    /** @returns a connection that has carried a request and is still in use. */
    [[nodiscard]] connection_pointer acquire_and_use(std::uint64_t id_hash, std::size_t limit = 16)
    {
        auto connection = acquire(id_hash, limit);
        REQUIRE(connection);
        use(*connection);
        return connection;
    }

    /** Has a connection carry one request to its end. */
    void use(net::client_connection& connection)
    {
        const auto exchange = [&connection]() -> net::asio::awaitable<void> {
            if (!connection.connected() && co_await connection.connect())
                co_return;
            const auto written = co_await connection.write_message("GET / HTTP/1.1\r\n\r\n", {});
            REQUIRE_FALSE(written.error);
            REQUIRE_FALSE(co_await connection.read_head());
        };
        boost::asio::co_spawn(io, exchange(), [](const std::exception_ptr& error) { REQUIRE_FALSE(error); });
        io.restart();
        io.run();
    }

    /** Sends a request through the pool. @returns the number of its connection. */
    std::uint64_t send(std::uint64_t id_hash, std::size_t limit = 16)
    {
        auto connection = acquire(id_hash, limit);
        REQUIRE(connection);
        use(*connection);
        const auto number = connection->number();
        pool.release(std::move(connection));
        return number;
    }

    upstream_fake server{[](const std::string&) { return scripted_reply{make_reply("200 OK", "", "")}; }};
    core::boot_clock time;
    opened_connections counters;
    boost::asio::io_context io;
    net::connection_pool pool{io.get_executor(), std::chrono::seconds(60), counters, time};
};

} // namespace

// Guards against two sends of one request that their answers can't tell apart.
TEST_CASE("a connection carries a request id once, whatever it carried in between")
{
    pool_fixture fixture;
    const auto first = fixture.send(1);
    CHECK(fixture.send(2) == first);
    const auto second = fixture.send(1);
    CHECK(second != first);
    CHECK(fixture.send(3) == second);
    const auto third = fixture.send(1);
    CHECK((third != first && third != second));
    CHECK(fixture.send(2) == third);
    CHECK(fixture.counters.opened == 3);
}

// Guards against a request that finds no connection although only the idle ones have carried it.
TEST_CASE("an idle connection that has carried the request makes room for a new one at the limit")
{
    pool_fixture fixture;
    const auto first = fixture.send(1, 1);
    CHECK(fixture.send(1, 1) != first);
    CHECK(fixture.counters.opened == 2);
    auto in_use = fixture.acquire(2, 1);
    CHECK(fixture.acquire(3, 1) == nullptr);
}

// Guards against a request that finds no connection although only ones that rested too long hold the places.
TEST_CASE("connections that rested too long make room at the limit, the oldest first")
{
    pool_fixture fixture;
    auto first = fixture.acquire_and_use(1, 2);
    auto second = fixture.acquire_and_use(2, 2);
    const auto kept = second->number();
    fixture.pool.release(std::move(first));
    fixture.pool.release(std::move(second));
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
    const auto third = fixture.acquire(3, 2, std::chrono::milliseconds(10));
    REQUIRE(third);
    CHECK(third->number() == 3);
    const auto again = fixture.acquire(4, 2);
    REQUIRE(again);
    CHECK(again->number() == kept);
    CHECK(fixture.acquire(5, 2) == nullptr);
}

// Guards against idle connections that are closed for a request that gets none all the same.
TEST_CASE("a request that can't get a connection closes no idle one")
{
    pool_fixture fixture;
    const auto in_use = fixture.acquire_and_use(1, 2);
    const auto idle = fixture.send(2, 2);
    CHECK(fixture.acquire(2, 1) == nullptr); // the limit has fallen
    const auto again = fixture.acquire(3, 1);
    REQUIRE(again);
    CHECK(again->number() == idle);
}

// Guards against memory that grows with the requests of a connection, and against ids that are forgotten.
TEST_CASE("a connection that can't keep another request id is replaced")
{
    pool_fixture fixture;
    const auto first = fixture.send(0);
    for (std::uint64_t id = 1; id < net::carried_requests::max_requests; ++id)
        REQUIRE(fixture.send(id) == first);
    CHECK(fixture.send(0) != first);
    CHECK(fixture.send(net::carried_requests::max_requests) != first);
    CHECK(fixture.counters.opened == 2);
}
