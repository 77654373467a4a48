#include "store_fleet.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <filesystem>
#include <map>

namespace {

using namespace knapweed;
using namespace knapweed::soak;
namespace asio = net::asio;
namespace http = boost::beast::http;

constexpr const char* usage = R"(usage: knapweed_answers PROGRAM DIRECTORY KIND
Runs a real gateway whose servers send bytes that are no whole answer to requests that must not run twice. KIND:
  early_reset      a long upload is answered at once with a 200 without a length, whose body is cut off by a reset
  early_whole      the same, but the answer is framed and whole
  odd_status       the status is none that HTTP allows
  odd_field_name   the name of a field has a blank or a control byte, or is empty
  two_lengths      two lengths, or a length beside a coding
Exit status: 0 when every caller gets 502, or the whole answer of early_whole, 1 otherwise, 2 for bad arguments.
)";

constexpr core::milliseconds warm_up{1500};
constexpr core::milliseconds longest_run{60000};
/** Time for which the start of an answer travels before its server resets the connection. */
constexpr core::milliseconds before_reset{50};
constexpr std::size_t upload_bytes = 30'000'000;
constexpr int requests_per_answer = 4;
constexpr int servers = 12;
const std::string early_body(6000, 'b');

/** What the servers of a kind send after the status line and the fields of a signed answer. */
struct raw_answer {
    std::string status;
    std::string fields;
    std::string body;
    bool resets = false; ///< without having read the request's body
};

std::vector<raw_answer> answers_of(const std::string& kind)
{
    const std::map<std::string, std::vector<raw_answer>> answers{
        {"early_reset", {{"200 OK", "", early_body, true}}},
        {"early_whole",
         {{"200 OK", "Content-Length: " + std::to_string(early_body.size()) + "\r\n", early_body, true}}},
        {"odd_status",
         {{"000 OK", "Content-Length: 2\r\n", "ok"},
          {"099 OK", "Content-Length: 2\r\n", "ok"},
          {"600 OK", "Content-Length: 2\r\n", "ok"},
          {"999 OK", "Content-Length: 2\r\n", "ok"},
          {"2000 OK", "Content-Length: 2\r\n", "ok"}}},
        {"odd_field_name",
         {{"200 OK", "Content-Length: 2\r\nX Y: 1\r\n", "ok"},
          {"200 OK", "Content-Length: 2\r\nX\x01Y: 1\r\n", "ok"},
          {"200 OK", "Content-Length: 2\r\nX-Y : 1\r\n", "ok"},
          {"200 OK", "Content-Length: 2\r\n: 1\r\n", "ok"},
          {"200 OK", "Content-Length : 2\r\n", "ok"}}},
        {"two_lengths",
         {{"200 OK", "Content-Length: 2\r\nContent-Length: 3\r\n", "ok"},
          {"200 OK", "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n", "2\r\nok\r\n0\r\n\r\n"},
          {"200 OK", "Transfer-Encoding: gzip\r\nContent-Length: 2\r\n", "ok"}}}};
    const auto found = answers.find(kind);
    return found == answers.end() ? std::vector<raw_answer>() : found->second;
}

/** Reads the head of a request, sends the answer, and closes the connection. */
asio::awaitable<void> serve(net::tcp::socket socket, const raw_answer& answer)
{
    constexpr std::string_view id_field = "Request-Id: ";
    std::string text;
    auto [error, head_bytes] =
        co_await asio::async_read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n", net::as_result);
    if (error)
        co_return;
    const auto id_at = text.find(id_field) + id_field.size();
    const auto id = text.substr(id_at, text.find("\r\n", id_at) - id_at);
    const auto reply = "HTTP/1.1 " + answer.status + "\r\nRequest-Id: " + id + "\r\nServer-Seal: sealed\r\n" +
                       answer.fields + "\r\n" + answer.body;
    co_await asio::async_write(socket, asio::buffer(reply), net::as_result);
    if (answer.resets) {
        asio::steady_timer timer(socket.get_executor(), before_reset);
        co_await timer.async_wait(net::as_result);
        net::error_code ignored;
        socket.set_option(net::tcp::socket::linger(true, 0), ignored);
    }
}

asio::awaitable<void> accept(net::tcp::acceptor& acceptor, const raw_answer& answer)
{
    for (;;) {
        auto [error, socket] = co_await acceptor.async_accept(net::as_result);
        if (error)
            co_return;
        asio::co_spawn(acceptor.get_executor(), serve(std::move(socket), answer), asio::detached);
    }
}

/** Sends one request. @returns the status and the body of the answer; status 0 without a whole one. */
asio::awaitable<std::pair<unsigned, std::string>> call(net::tcp::endpoint gateway, std::string id,
                                                       std::size_t body_bytes)
{
    net::tcp::socket socket(co_await asio::this_coro::executor);
    const std::string request =
        "POST /once/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id +
        "\r\nDeadline-Remaining: 30000\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n" +
        std::string(body_bytes, 'u');
    co_await socket.async_connect(gateway, net::as_result);
    co_await asio::async_write(socket, asio::buffer(request), net::as_result);
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> answer;
    const auto [error, bytes] = co_await http::async_read(socket, buffer, answer, net::as_result);
    if (error)
        co_return std::pair(0U, std::string());
    co_return std::pair(answer.result_int(), answer.body());
}

asio::awaitable<void> play(store_fleet& fleet, raw_answer& answer, const std::vector<raw_answer>& answers,
                           bool& kept)
{
    co_await fleet.sleep(warm_up);
    const auto gateway = fleet.gateways().front()->caller_address();
    int number = 0;
    for (const auto& next : answers) {
        answer = next;
        std::map<unsigned, int> statuses;
        for (int i = 0; i < requests_per_answer; ++i) {
            const auto [status, body] =
                co_await call(gateway, "r" + std::to_string(++number), next.resets ? upload_bytes : 10);
            ++statuses[status];
            const bool is_whole = next.resets && !next.fields.empty();
            kept = kept && (is_whole ? status == 200 && body == early_body : status == 502);
        }
        for (const auto& [status, count] : statuses)
            std::printf("%s, %zu bytes of fields: %d callers got %u\n", next.status.c_str(),
                        next.fields.size(), count, status);
    }
}

} // namespace

int main(int argc, char** argv)
{
    const auto answers = argc == 4 ? answers_of(argv[3]) : std::vector<raw_answer>();
    if (answers.empty()) {
        std::fputs(usage, stderr);
        return 2;
    }
    std::filesystem::create_directories(argv[2]);
    store_fleet fleet({argv[1], argv[2], "", "answers", 1, 1, std::uint64_t{64} << 20U});
    fleet.add_servers("once", 1);
    fleet.write_configuration(3, "once");
    raw_answer answer;
    std::vector<std::unique_ptr<net::tcp::acceptor>> acceptors;
    // A server that fails several requests gets none for a while, so each request finds another one.
    for (int i = 0; i < servers; ++i) {
        acceptors.push_back(std::make_unique<net::tcp::acceptor>(
            fleet.io(), net::tcp::endpoint(asio::ip::address_v4::loopback(), 0)));
        asio::co_spawn(fleet.io(), accept(*acceptors.back(), answer), asio::detached);
        fleet.store().put("servers", "raw-" + std::to_string(i),
                          R"({"address":")" + text_of(acceptors.back()->local_endpoint()) +
                              R"(","info":{"service":"once","version":"1","zone":"a","slots":3},)"
                              R"("status":{"state":"ready","sequence":1,"coldLeftMs":0},"born":1})");
    }
    fleet.start_gateways();
    bool kept = true;
    bool played = false;
    asio::co_spawn(fleet.io(), play(fleet, answer, answers, kept), [&](const std::exception_ptr& error) {
        played = !error;
        fleet.io().stop();
    });
    fleet.io().run_for(longest_run);
    return played && kept ? 0 : 1;
}
