#pragma once

#include "core/simulated_clock.h"
#include "stand_ins/http/http_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

namespace knapweed::stand_ins {

/** Runs emulators in the thread of the test and sends requests to them. */
class stand_in_fixture {
public:
    stand_in_fixture() = default;
    stand_in_fixture(const stand_in_fixture&) = delete;
    stand_in_fixture& operator=(const stand_in_fixture&) = delete;
    ~stand_in_fixture() { context.stop(); }

    /** Runs the io_context until a coroutine has ended. @returns the result of the coroutine. */
    template <typename Value>
    Value run(asio::awaitable<Value> work)
    {
        std::optional<Value> result;
        asio::co_spawn(context, std::move(work), [&](const std::exception_ptr& error, Value value) {
            if (error)
                std::rethrow_exception(error);
            result = std::move(value);
        });
        run_until([&result] { return result.has_value(); });
        return std::move(*result);
    }

    /** Sends a request to a local port and waits for its answer. */
    exchange_result call(std::uint16_t port, http::verb method, const std::string& target,
                         const std::string& body = "", const std::map<std::string, std::string>& headers = {})
    {
        return run(client.exchange(endpoint(port), make_request(method, target, body, headers), timeout));
    }

    /** Sends a request without waiting for its answer, which is stored in @p result when it arrives. */
    void start(std::uint16_t port, const std::string& target,
               const std::map<std::string, std::string>& headers, std::optional<exchange_result>& result)
    {
        asio::co_spawn(
            context,
            client.exchange(endpoint(port), make_request(http::verb::get, target, "", headers), timeout),
            [&result](const std::exception_ptr&, exchange_result value) { result = std::move(value); });
    }

    /** Runs the io_context until a condition holds. */
    template <typename Condition>
    void run_until(Condition condition)
    {
        while (!condition()) {
            if (context.run_one() == 0)
                throw std::logic_error{"no work is left and the condition does not hold"};
        }
    }

    static tcp::endpoint endpoint(std::uint16_t port) { return {asio::ip::address_v4::loopback(), port}; }

    asio::io_context context;
    core::simulated_clock clock;
    http_client client{context.get_executor()};

private:
    static http_request make_request(http::verb method, const std::string& target, const std::string& body,
                                     const std::map<std::string, std::string>& headers)
    {
        http_request request{method, target, 11};
        for (const auto& [name, value] : headers)
            request.set(name, value);
        request.body() = body;
        return request;
    }

    /** Limit for a test that hangs; no passing test waits this long. */
    static constexpr core::milliseconds timeout{60'000};
};

} // namespace knapweed::stand_ins
