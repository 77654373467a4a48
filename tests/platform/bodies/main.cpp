#include "store_fleet.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <filesystem>

namespace {

using namespace knapweed;
using namespace knapweed::soak;
namespace asio = net::asio;
namespace http = boost::beast::http;

constexpr const char* usage = R"(usage: knapweed_bodies PROGRAM DIRECTORY CALLERS BODY_BYTES LIMIT_MB
Runs a real gateway while CALLERS send bodies of BODY_BYTES at once, every third in chunks, and others send small ones.
Exit status: 0 when the gateway's peak memory stays within LIMIT_MB and every small body is served, 1 otherwise, 2 for
bad arguments.
)";

constexpr core::milliseconds warm_up{1500};
constexpr core::milliseconds longest_run{60000};
constexpr std::size_t piece_bytes = 65536;
constexpr int small_requests = 50;
/** So many that all small requests together find a slot in the region of the gateway. */
constexpr int servers = 40;

struct outcome_counts {
    int served = 0;
    int refused = 0;
    int other = 0;
    int small_served = 0;
    int pending = 0;
};

/** Sends one request and counts its outcome. The body is sent until an answer is there. */
asio::awaitable<void> call(net::tcp::endpoint gateway, std::string id, std::size_t body_bytes, bool chunked,
                           int& served, outcome_counts& counts)
{
    net::tcp::socket socket(co_await asio::this_coro::executor);
    const auto framing =
        chunked ? std::string("Transfer-Encoding: chunked") : "Content-Length: " + std::to_string(body_bytes);
    const auto head = "POST /read/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id +
                      "\r\nDeadline-Remaining: 30000\r\n" + framing + "\r\n\r\n";
    static const std::string piece(piece_bytes, 'x');
    static const std::string chunk = "10000\r\n" + piece + "\r\n";
    auto [error] = co_await socket.async_connect(gateway, net::as_result);
    if (!error)
        error = std::get<0>(co_await asio::async_write(socket, asio::buffer(head), net::as_result));
    for (std::size_t sent = 0; sent < body_bytes && !error && socket.available() == 0; sent += piece_bytes) {
        const auto bytes = asio::buffer(chunked ? chunk : piece, chunked ? chunk.size() : body_bytes - sent);
        error = std::get<0>(co_await asio::async_write(socket, bytes, net::as_result));
    }
    if (chunked && !error && socket.available() == 0)
        error = std::get<0>(co_await asio::async_write(socket, asio::buffer("0\r\n\r\n", 5), net::as_result));
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> answer;
    error = std::get<0>(co_await http::async_read(socket, buffer, answer, net::as_result));
    const bool promises = answer.result_int() == 503 && answer["Knapweed-Reason"] == "no_body_space";
    ++(error ? counts.other : answer.result_int() == 200 ? served : promises ? counts.refused : counts.other);
    --counts.pending;
}

asio::awaitable<void> play(store_fleet& fleet, int callers, std::size_t body_bytes, outcome_counts& counts)
{
    co_await fleet.sleep(warm_up);
    const auto gateway = fleet.gateways().front()->caller_address();
    counts.pending = callers + small_requests;
    for (int i = 0; i < callers; ++i)
        asio::co_spawn(
            fleet.io(),
            call(gateway, "large-" + std::to_string(i), body_bytes, i % 3 == 2, counts.served, counts),
            asio::detached);
    for (int i = 0; i < small_requests; ++i) {
        co_await fleet.sleep(core::milliseconds(10));
        asio::co_spawn(fleet.io(),
                       call(gateway, "small-" + std::to_string(i), 1000, false, counts.small_served, counts),
                       asio::detached);
    }
    while (counts.pending > 0)
        co_await fleet.sleep(core::milliseconds(10));
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 6) {
        std::fputs(usage, stderr);
        return 2;
    }
    const int callers = std::atoi(argv[3]);
    const auto limit_kb = std::strtoull(argv[5], nullptr, 10) * 1000;
    std::filesystem::create_directories(argv[2]);
    store_fleet fleet({argv[1], argv[2], "", "bodies", 1, 1, std::uint64_t{64} << 20U});
    fleet.add_servers("read", servers);
    for (const auto& place : fleet.servers())
        fleet.write_server(place, false);
    fleet.write_configuration(3, "read");
    fleet.start_gateways();
    outcome_counts counts;
    asio::co_spawn(fleet.io(), play(fleet, callers, std::strtoull(argv[4], nullptr, 10), counts),
                   [&fleet](const std::exception_ptr&) { fleet.io().stop(); });
    fleet.io().run_for(longest_run);
    const auto peak_kb = fleet.gateways().front()->peak_memory_kb();
    std::printf("%d large bodies: %d served, %d refused, %d other; %d of %d small ones served; peak %zu kB\n",
                callers, counts.served, counts.refused, counts.other, counts.small_served, small_requests,
                peak_kb);
    const bool kept = peak_kb > 0 && peak_kb * 1024 <= limit_kb * 1000 && counts.served > 0 &&
                      counts.small_served == small_requests;
    return kept ? 0 : 1;
}
