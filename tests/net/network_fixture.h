#pragma once

#include "net/network_service.h"
#include "net/upstream_fake.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

namespace knapweed::test {

/** A network thread on a free loopback port. The test acts as the decision thread: it reads the events and
    sends the actions.
*/
class network_fixture {
public:
    explicit network_fixture(std::size_t ring_entries = 64, const std::string& name = "e1")
        : reports(name, net::log_level::error, 64), events(ring_entries), actions(64),
          network({core::instance_id{name}, {7}, limits()}, events, actions, decision_wake_signal, reports)
    {
        REQUIRE_FALSE(network.listen({boost::asio::ip::address_v4::loopback(), 0}));
        port = network.port();
        thread_ = std::thread([this] { network.run(); });
    }
    network_fixture(const network_fixture&) = delete;
    network_fixture& operator=(const network_fixture&) = delete;
    ~network_fixture()
    {
        send_action(decision::stop_now{});
        thread_.join();
    }

    static net::server_limits limits()
    {
        net::server_limits small;
        small.body_bytes = 2048;
        small.header_bytes = 1024;
        small.connections = 32;
        return small;
    }

    /** Sends an action to the network thread. */
    void send_action(decision::action action)
    {
        REQUIRE(actions.try_push(action));
        network.wake();
    }

    /** Waits for the next event, which must be of type `Event`. The time limit only ends a hanging test. */
    template <typename Event>
    Event next_event()
    {
        decision::event event;
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!events.try_pop(event)) {
            REQUIRE(std::chrono::steady_clock::now() < limit);
            decision_wake_signal.wait_for(std::chrono::milliseconds(5));
        }
        REQUIRE(std::holds_alternative<Event>(event));
        return std::get<Event>(std::move(event));
    }

    /** Sends a POST and dispatches it to an upstream. @returns the exchange. */
    core::exchange_id post_and_dispatch(test_client& client, const std::string& address,
                                        core::milliseconds timeout = core::milliseconds(20000),
                                        core::dispatch_id dispatch = {1})
    {
        client.send("POST /v1/services/orders/new HTTP/1.1\r\nHost: e1\r\nKnapweed-Caller: c\r\n"
                    "Idempotency-Key: k\r\nContent-Length: 5\r\n\r\nhello");
        const auto received = next_event<decision::request_received>();
        send_action(decision::dispatch_to_server{received.exchange, dispatch, core::server_id{"b1"}, address,
                                                 timeout, 4});
        return received.exchange;
    }

    net::telemetry reports;
    net::ring<decision::event> events;
    net::ring<decision::action> actions;
    net::wake_signal decision_wake_signal;
    net::network_service network;
    std::uint16_t port = 0;

private:
    std::thread thread_;
};

} // namespace knapweed::test
