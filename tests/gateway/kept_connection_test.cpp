#include "forwarding_fixture.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using namespace knapweed::test;

namespace {

std::string id_of(const std::string& request)
{
    const auto begin = request.find("X-Id: ") + 6;
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

std::string refusal(const std::string& fields)
{
    return make_reply("503 Full", "X-Not-Run: 1\r\n" + fields, "");
}

/** Answers requests, but refuses those whose id begins with `full`, and writes such a refusal once more
   before, behind or in place of the answer to the next request. */
class repeating_server {
public:
    enum class place { before, behind, instead };

    repeating_server(std::string status, bool with_id, place where)
        : status_(std::move(status)), with_id_(with_id), where_(where)
    {}

    scripted_reply operator()(const std::string& request)
    {
        const auto id = id_of(request);
        if (id.starts_with("full")) {
            earlier_ = make_reply(status_, "X-Not-Run: 1\r\n" + (with_id_ ? "X-Id: " + id + "\r\n" : ""), "");
            return {make_reply(status_, "X-Not-Run: 1\r\nX-Id: " + id + "\r\n", "")};
        }
        ++runs_[id];
        const auto own = make_signed_reply(id, "answer to " + id);
        const auto earlier = std::exchange(earlier_, "");
        if (earlier.empty())
            return {own};
        if (where_ == place::instead)
            return {earlier, false, true};
        return {where_ == place::before ? earlier + own : own + earlier};
    }

    std::map<std::string, int> runs_;

private:
    std::string status_;
    bool with_id_;
    place where_;
    std::string earlier_;
};

} // namespace

// Guards against "not run" for a request that a server runs, and against a second run of it, because an
// earlier refusal arrives once more on the connection.
TEST_CASE("a refusal that is written once more is never the answer of the next request")
{
    using place = repeating_server::place;
    for (const auto* status : {"503 Full", "429 Many", "421 Other"}) {
        for (const bool with_id : {true, false}) {
            for (const auto where : {place::before, place::behind, place::instead}) {
                INFO(status << ", with id " << with_id << ", place " << static_cast<int>(where));
                repeating_server servers(status, with_id, where);
                std::mutex mutex;
                const auto serve = [&servers, &mutex](const std::string& request) {
                    const std::lock_guard lock(mutex);
                    return servers(request);
                };
                forwarding_fixture fixture({serve, serve}, false, core::milliseconds(700));
                test_client client(fixture.port());
                for (int round = 0; round < 3; ++round) {
                    const auto number = std::to_string(round);
                    client.send(make_request("ok-" + number, "POST"));
                    (void)client.read_answer();
                    client.send(make_request("full-" + number, "POST"));
                    REQUIRE(client.read_answer().starts_with("HTTP/1.1 503"));
                    for (const auto* name : {"one-", "two-"}) {
                        const auto id = name + number;
                        client.send(make_request(id, "POST"));
                        const auto answer = client.read_answer();
                        const bool is_success = answer.starts_with("HTTP/1.1 200");
                        if (is_success)
                            REQUIRE(answer.ends_with("answer to " + id));
                        const bool promises_not_run =
                            answer.starts_with("HTTP/1.1 503") || answer.starts_with("HTTP/1.1 429");
                        const std::lock_guard lock(mutex);
                        REQUIRE(servers.runs_[id] <= 1);
                        REQUIRE((!promises_not_run || servers.runs_[id] == 0));
                    }
                }
            }
        }
    }
}

// Guards against an answer that broke off in its head, its framing or its body and looks whole to the caller.
TEST_CASE("an answer that ends at any byte before its end is never passed on as whole")
{
    const std::string body = "the whole body";
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Seal: s\r\n";
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    const std::vector<std::string> answers{
        head + length + "\r\n" + body,
        "HTTP/1.1 100 Continue\r\n\r\n" + head + length + "\r\n" + body,
        "HTTP/1.1 103 Early Hints\r\nX-Id: 7\r\nX-Seal: s\r\nLink: a\r\n\r\n" + head + length + "\r\n" + body,
        head +
            "Transfer-Encoding: chunked\r\n\r\n4;n=1\r\nthe \r\na\r\nwhole body\r\n0\r\nX-Trailer: t\r\n\r\n",
        head + "\r\n", // without a length; a body may follow until the connection ends
    };
    for (const bool idempotent : {true, false}) {
        std::string reply;
        const auto break_off = [&reply](const std::string&) { return scripted_reply{reply, true}; };
        forwarding_fixture fixture({break_off}, idempotent, core::milliseconds(1000));
        for (const auto& answer : answers) {
            for (std::size_t bytes = 0; bytes < answer.size(); ++bytes) {
                reply = answer.substr(0, bytes);
                test_client client(fixture.port());
                client.send(make_request("7", idempotent ? "GET" : "POST", "Connection: close\r\n"));
                const auto received = client.read_to_end();
                INFO("after " << bytes << " bytes of " << answer << ": " << received);
                REQUIRE_FALSE(received.starts_with("HTTP/1.1 200"));
                REQUIRE((idempotent || received.starts_with("HTTP/1.1 502") || received.empty() ||
                         received.starts_with("HTTP/1.1 503")));
            }
        }
    }
}
