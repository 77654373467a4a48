#include "session_model_gateway.h"
#include "session_model_server.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using namespace knapweed::test;

namespace {

constexpr std::size_t body_bytes =
    200000; // more than the caller's system takes in while the caller reads nothing

/** @returns an answer with a large body, of which @p missing bytes are missing. */
session_model_reply make_large_reply(const std::string& id, std::size_t missing)
{
    const auto head = "HTTP/1.1 200 OK\r\nX-Id: " + id +
                      "\r\nX-Seal: sealed\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n";
    return {head + std::string(body_bytes - missing, 'x'),
            missing == 0 ? session_model_reply::ending::keep : session_model_reply::ending::close,
            {}};
}

/** A caller that reads nothing before it has sent everything. Requests with the id 2 get an answer that
   breaks off, others a whole one. */
struct slow_caller {
    slow_caller()
    {
        server.allow_all();
        boost::asio::ip::tcp::socket connected(io);
        connected.connect({boost::asio::ip::address_v4::loopback(), gateway.port()});
        socket.emplace(std::move(connected));
    }

    void send(std::string bytes)
    {
        socket->write(bytes, bytes.size());
        for (int idle = 0; idle < 20;)
            idle = gateway.run(1) > 0 || server.move() || gateway.run_or_wait() ? 0 : idle + 1;
    }

    std::string read_to_end()
    {
        std::string bytes;
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (socket->is_open() && std::chrono::steady_clock::now() < limit) {
            gateway.run_or_wait();
            socket->read(bytes);
        }
        CHECK_FALSE(socket->is_open());
        return bytes;
    }

    boost::asio::io_context io;
    session_model_server server{io, [](const std::string& request, bool) {
                                    const bool breaks = request.find("X-Id: 2\r\n") != std::string::npos;
                                    return make_large_reply(breaks ? "2" : "1", breaks ? 1000 : 0);
                                }};
    session_model_gateway gateway{{server.address()}};
    std::optional<session_model_socket> socket;
};

std::string make_download(const std::string& id, const std::string& fields = "")
{
    return "GET /files/" + id + " HTTP/1.1\r\nHost: shop.example\r\nX-Id: " + id + "\r\n" + fields + "\r\n";
}

} // namespace

// Guards against a reset that takes along the end of an answer that a slow caller hasn't received yet.
TEST_CASE("the last answer of a connection reaches a caller that reads nothing for a while")
{
    slow_caller caller;
    caller.send(make_download("1", "Connection: close\r\n"));
    caller.gateway.pass(core::milliseconds(1100));
    caller.send("GET /files/3 HTTP/1.1\r\n");
    CHECK(caller.read_to_end().size() > body_bytes);
}

// Guards against a reset that takes along a whole answer in front of one that breaks off.
TEST_CASE("a whole answer in front of one that breaks off reaches a caller that reads nothing for a while")
{
    slow_caller caller;
    caller.send(make_download("1") + make_download("2"));
    caller.send("GET /files/3 HTTP/1.1\r\n");
    const auto text = caller.read_to_end();
    CHECK(text.size() > body_bytes);
    CHECK(text.size() < 2 * body_bytes);
}
