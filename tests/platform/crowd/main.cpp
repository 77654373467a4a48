#include "store_fleet.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <filesystem>
#include <map>

namespace {

using namespace knapweed;
using namespace knapweed::soak;
namespace asio = net::asio;
namespace http = boost::beast::http;

constexpr const char* usage = R"(usage: knapweed_crowd PROGRAM DIRECTORY KIND
Runs a real gateway with little memory while many callers keep to no limit. KIND, most callers stop just short of the end and
stay connected:
  whole         large bodies of legal size, sent at once
  pieces        the same, piece by piece
  announced     bodies far over the limit, announced
  unannounced   bodies far over the limit, in chunks without end
  large_chunks  bodies in chunks of 64 KiB
  small_chunks  bodies in chunks of one byte
  heads         heads just below the limit
  pipelined     many requests with long heads on each connection, whose answers are not read
Exit status: 0 when the gateway lives, its peak memory and its open descriptors stay within the bounds and an ordinary
request is answered afterwards, 1 otherwise, 2 for bad arguments.
)";

/** The crowd and the bounds. The memory is that of the machine in the settings. */
constexpr std::size_t callers = 600;
constexpr unsigned memory_mb = 24;
constexpr std::size_t max_descriptors = 1400;
constexpr std::size_t longest_body = 1U << 20U;

constexpr core::milliseconds warm_up{1500};
constexpr core::milliseconds between_pieces{20};
/** Time for which the crowd stays after it has been sent; shorter than the idle timeout of connections. */
constexpr core::milliseconds crowd_stays{4000};
constexpr core::milliseconds longest_run{90000};
constexpr std::size_t piece_bytes = 16384;
constexpr std::size_t short_of_end = 7;
/** Of so many callers one sends its request to the end. */
constexpr std::size_t one_whole_in = 8;
constexpr int servers = 8;

/** What one caller of the crowd sends, again and again if `repeats`. */
struct caller_script {
    std::string head;
    std::string body;
    bool in_pieces = false;
    std::size_t repeats = 1; ///< of the body
    bool reads_nothing = false;
};

std::string head_of(const std::string& method, const std::string& id, const std::string& fields)
{
    return method + " /read/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id +
           "\r\nDeadline-Remaining: 30000\r\n" + fields;
}

std::string in_chunks(std::size_t bytes, std::size_t chunk_bytes)
{
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", chunk_bytes);
    const auto chunk = size.data() + std::string(chunk_bytes, 'c') + "\r\n";
    std::string text;
    for (std::size_t sent = 0; sent < bytes; sent += chunk_bytes)
        text += chunk;
    return text + "0\r\n\r\n";
}

/** @returns the script of a caller, or nothing for an unknown kind. */
std::optional<caller_script> make_script(const std::string& kind, std::size_t number)
{
    constexpr std::size_t chunk_bytes = 65536;
    constexpr std::size_t many_small_chunks = 65536;
    constexpr std::size_t head_bytes = 15000;
    constexpr std::size_t pipelined_requests = 32;
    const auto id = "crowd-" + std::to_string(number);
    const auto stated = [&](std::size_t bytes) {
        return head_of("POST", id, "Content-Length: " + std::to_string(bytes) + "\r\n\r\n");
    };
    const auto chunked = head_of("POST", id, "Transfer-Encoding: chunked\r\n\r\n");
    caller_script script;
    if (kind == "whole" || kind == "pieces")
        script = {stated(longest_body), std::string(longest_body, 'w'), kind == "pieces"};
    else if (kind == "announced")
        script = {stated(std::size_t{1} << 30U), std::string(longest_body, 'a'), true, 4};
    else if (kind == "unannounced")
        script = {chunked, in_chunks(longest_body, chunk_bytes).substr(0, longest_body), false, 4};
    else if (kind == "large_chunks")
        script = {chunked, in_chunks(longest_body - chunk_bytes, chunk_bytes)};
    else if (kind == "small_chunks")
        script = {chunked, in_chunks(many_small_chunks, 1), true};
    else if (kind == "heads")
        script = {head_of("GET", id, ""), "X-Long: " + std::string(head_bytes, 'h') + "\r\n\r\n", true};
    else if (kind == "pipelined")
        script = {"", head_of("GET", id, "X-Long: " + std::string(head_bytes, 'h') + "\r\n\r\n"), false,
                  pipelined_requests, true};
    else
        return std::nullopt;
    if (number % one_whole_in != 0 && !script.reads_nothing)
        script.body.resize(script.body.size() - short_of_end);
    return script;
}

asio::awaitable<bool> write(net::tcp::socket& socket, std::string_view text)
{
    const auto [error, bytes] =
        co_await asio::async_write(socket, asio::buffer(text.data(), text.size()), net::as_result);
    co_return !error;
}

/** Sends what the script says and keeps the connection open until the crowd leaves. */
asio::awaitable<void> join_crowd(store_fleet& fleet, net::tcp::endpoint gateway, caller_script script,
                                 std::shared_ptr<net::tcp::socket> socket, std::size_t& sending)
{
    const auto [error] = co_await socket->async_connect(gateway, net::as_result);
    bool open = !error && co_await write(*socket, script.head);
    for (std::size_t i = 0; open && i < script.repeats; ++i) {
        std::string_view rest = script.body;
        while (open && !rest.empty()) {
            const auto piece = rest.substr(0, script.in_pieces ? piece_bytes : rest.size());
            open = co_await write(*socket, piece);
            rest.remove_prefix(piece.size());
            if (script.in_pieces)
                co_await fleet.sleep(between_pieces);
        }
    }
    --sending;
}

/** @returns the status of an ordinary request, 0 without an answer. */
asio::awaitable<unsigned> call(net::tcp::endpoint gateway, std::string id)
{
    net::tcp::socket socket(co_await asio::this_coro::executor);
    co_await socket.async_connect(gateway, net::as_result);
    const auto request = head_of("POST", id, "Content-Length: 4\r\n\r\nbody");
    co_await asio::async_write(socket, asio::buffer(request), net::as_result);
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> answer;
    const auto [error, bytes] = co_await http::async_read(socket, buffer, answer, net::as_result);
    co_return error ? 0 : answer.result_int();
}

struct outcome {
    std::size_t sending = callers; ///< callers of the crowd that have not sent all
    std::size_t most_descriptors = 0;
    unsigned answer = 0; ///< status of the ordinary request
    bool finished = false;
};

asio::awaitable<void> play(store_fleet& fleet, const std::string& kind, outcome& result)
{
    constexpr int attempts = 5; // an ordinary caller comes back after a refusal
    co_await fleet.sleep(warm_up);
    const auto& process = *fleet.gateways().front();
    std::vector<std::shared_ptr<net::tcp::socket>> crowd;
    for (std::size_t i = 0; i < callers; ++i) {
        crowd.push_back(std::make_shared<net::tcp::socket>(fleet.io()));
        asio::co_spawn(
            fleet.io(),
            join_crowd(fleet, process.caller_address(), *make_script(kind, i), crowd.back(), result.sending),
            asio::detached);
    }
    for (auto left = crowd_stays; left > core::milliseconds(0); left -= between_pieces) {
        result.most_descriptors = std::max(result.most_descriptors, process.open_descriptors());
        co_await fleet.sleep(between_pieces);
    }
    for (int i = 0; i < attempts && result.answer != 200; ++i) {
        result.answer = co_await call(process.caller_address(), "ordinary-" + std::to_string(i));
        co_await fleet.sleep(core::milliseconds(200));
    }
    for (const auto& socket : crowd) {
        net::error_code ignored;
        socket->close(ignored);
    }
    while (result.sending > 0)
        co_await fleet.sleep(between_pieces);
    result.finished = true;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4 || !make_script(argv[3], 0)) {
        std::fputs(usage, stderr);
        return 2;
    }
    std::filesystem::create_directories(argv[2]);
    store_fleet_options options{argv[1], argv[2], "", "crowd", 1, 1, longest_body};
    options.memory_mb = memory_mb;
    store_fleet fleet(options);
    fleet.add_servers("read", servers);
    for (const auto& place : fleet.servers())
        fleet.write_server(place, false);
    fleet.write_configuration(3, "read");
    fleet.start_gateways();
    outcome result;
    asio::co_spawn(fleet.io(), play(fleet, argv[3], result),
                   [&fleet](const std::exception_ptr&) { fleet.io().stop(); });
    fleet.io().run_for(longest_run);
    const auto end = fleet.gateways().front()->check();
    const auto peak_kb = fleet.gateways().front()->peak_memory_kb();
    std::printf("%s: peak %zu kB of %u MB, %zu descriptors of %zu, an ordinary request got %u%s%s\n", argv[3],
                peak_kb, memory_mb, result.most_descriptors, max_descriptors, result.answer,
                end.empty() ? "" : ", ", end.c_str());
    const bool kept = end.empty() && peak_kb > 0 && peak_kb <= std::size_t{memory_mb} * 1000 &&
                      result.most_descriptors <= max_descriptors && result.answer == 200 && result.finished;
    return kept ? 0 : 1;
}
