#include "forwarding_fixture.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using namespace knapweed::test;

namespace {

/** How a request that a server has refused reaches the same address again. */
enum class second_way {
    new_process,   ///< the address belongs to a new process, and the entry of the former one is still there
    renewed_entry, ///< the server's entry is put anew while the request is under way
    repeated_id    ///< the caller sends the request again, under the same id
};

struct copy_case {
    second_way way;
    std::string status;      ///< of the refusal
    std::string before_copy; ///< sent before the copy
    int copies = 1;          ///< sent before the answer to the next request on the connection
    bool idempotent = false;
};

constexpr std::size_t servers_in_play = 2;

bool is_request(const std::string& request, const std::string& id)
{
    return request.find("X-Id: " + id + "\r\n") != std::string::npos;
}

std::string refusal_of(const std::string& id, const std::string& status = "503 Full")
{
    return make_reply(
        status, "X-Id: " + id + "\r\nX-Not-Run: 1\r\nRetry-After: 0.001\r\nKeep-Alive: timeout=10\r\n", "no");
}

/** A server that refuses the first request that it gets and runs the others. */
class copying_server {
public:
    explicit copying_server(const copy_case& played) : played_(played) {}

    /** Called for the first request, while the gateway waits for its answer. */
    std::function<void()> on_refusal;
    std::atomic<int> refused = 0;
    std::atomic<int> ran = 0;

    scripted_reply operator()(const std::string&)
    {
        if (refused++ > 0) {
            ++ran;
            return {make_signed_reply("7", "ran")};
        }
        on_refusal();
        const auto refusal =
            make_reply(played_.status,
                       "X-Id: 7\r\nX-Not-Run: 1\r\nRetry-After: 0.01\r\nKeep-Alive: timeout=10\r\n", "no");
        scripted_reply reply{refusal};
        reply.before_next = played_.before_copy;
        for (int i = 0; i < played_.copies; ++i)
            reply.before_next += refusal;
        return reply;
    }

private:
    copy_case played_;
};

void play(const copy_case& played)
{
    INFO("way " << static_cast<int>(played.way) << ", " << played.status << ", " << played.copies
                << " copies after '" << played.before_copy << "', idempotent " << played.idempotent);
    copying_server server(played);
    forwarding_fixture fixture({std::ref(server)}, played.idempotent, core::milliseconds(2000));
    server.on_refusal = [&fixture, &played] {
        if (played.way == second_way::new_process)
            fixture.put_entry(0, "another", 2);
        if (played.way == second_way::renewed_entry)
            fixture.put_entry(0, "s0", 2);
    };
    test_client client(fixture.port());
    const auto request = make_request("7", played.idempotent ? "GET" : "POST");
    client.send(request);
    auto answer = client.read_answer();
    if (played.way == second_way::repeated_id) {
        REQUIRE(answer.starts_with("HTTP/1.1 503"));
        std::this_thread::sleep_for(std::chrono::milliseconds(20)); // stated by the refusal
        client.send(request);
        answer = client.read_answer();
    }
    REQUIRE(server.ran <= 1);
    INFO("the caller got " << answer);
    const bool promises_not_run = answer.starts_with("HTTP/1.1 503");
    REQUIRE_FALSE((promises_not_run && server.ran > 0));
    REQUIRE(answer.starts_with("HTTP/1.1 200"));
    REQUIRE(answer.ends_with("ran"));
}

void play_all(second_way way, const std::vector<std::string>& statuses)
{
    for (const auto& status : statuses) {
        for (const auto* before_copy : {"", "HTTP/1.1 103 Early Hints\r\n\r\n"}) {
            for (const int copies : {1, 2}) {
                for (const bool idempotent : {false, true})
                    play({way, status, before_copy, copies, idempotent});
            }
        }
    }
}

} // namespace

// Guards against "not run" for a request that the next process at a server's address runs.
TEST_CASE("a copy of a refusal is not the answer of the next process at the address")
{
    play_all(second_way::new_process, {"421 Other", "503 Full"});
}

// Guards against "not run" for a request that a server with a renewed entry runs.
TEST_CASE("a copy of a refusal is not the answer of the same server under a renewed entry")
{
    play_all(second_way::renewed_entry, {"503 Full", "429 Many", "400 Bad"});
}

// Guards against "not run" for a request because of an answer that may concern another one.
TEST_CASE("a refusal without a request id proves nothing behind an answer to another request")
{
    forwarding_fixture fixture({[](const auto&) {
                                   return scripted_reply{make_signed_reply("older", "not yours") +
                                                         make_reply("503 Full", "X-Not-Run: 1\r\n", "")};
                               }},
                               false);
    test_client client(fixture.port());
    client.send(make_request("7", "POST"));
    REQUIRE(client.read_answer().starts_with("HTTP/1.1 502"));
}

// Guards against a load or a cold time that is believed although it may concern another request or server.
TEST_CASE("what an answer states of its server is ignored unless the answer belongs to the request")
{
    constexpr const char* cold = "X-Cold: 60000\r\n";
    const std::vector<std::string> answers{make_reply("503 Full", std::string("X-Not-Run: 1\r\n") + cold, ""),
                                           make_reply("200 OK", std::string("X-Id: 7\r\n") + cold, ""),
                                           make_reply("421 Other", std::string("X-Id: 7\r\n") + cold, "")};
    for (const auto& answer : answers) {
        INFO(answer);
        std::atomic<int> requests = 0;
        forwarding_fixture fixture({[&](const std::string&) {
                                       return scripted_reply{requests++ == 0 ? make_signed_reply("6", "whole")
                                                                             : answer};
                                   }},
                                   false);
        test_client client(fixture.port());
        client.send(make_request("6", "POST"));
        REQUIRE(client.read_answer().starts_with("HTTP/1.1 200"));
        client.send(make_request("7", "POST"));
        REQUIRE_FALSE(client.read_answer().starts_with("HTTP/1.1 200"));
        bool is_cold = true;
        fixture.run_on_gateway_thread([&] { is_cold = fixture.is_cold(0); });
        CHECK_FALSE(is_cold);
    }
}

// Guards against "not run" for a request that runs when its caller sends it again.
TEST_CASE("a copy of a refusal is not the answer to a request that its caller repeats")
{
    play_all(second_way::repeated_id, {"503 Full", "429 Many", "400 Bad"});
}

// Guards against a request whose answer is not awaited because several refused requests came before.
TEST_CASE("the copies of several refusals on a connection are skipped")
{
    for (const int refusals : {1, 2, 4, 8}) {
        std::atomic<int> ran = 0;
        std::string copies;
        forwarding_fixture fixture({[&](const std::string& request) {
                                       if (is_request(request, "run")) {
                                           ++ran;
                                           return scripted_reply{copies + make_signed_reply("run", "whole")};
                                       }
                                       const auto begin = request.find("X-Id: ") + 6;
                                       const auto id =
                                           request.substr(begin, request.find('\r', begin) - begin);
                                       copies += "HTTP/1.1 103 Early Hints\r\n\r\n" + refusal_of(id);
                                       return scripted_reply{refusal_of(id)};
                                   }},
                                   false, core::milliseconds(1000));
        test_client client(fixture.port());
        for (int i = 0; i < refusals; ++i) {
            client.send(make_request("refused" + std::to_string(i), "POST"));
            REQUIRE(client.read_answer().starts_with("HTTP/1.1 503"));
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        client.send(make_request("run", "POST"));
        const auto answer = client.read_answer();
        INFO(refusals << " refusals, ran " << ran << ", " << answer);
        CHECK(answer.starts_with("HTTP/1.1 200"));
    }
}

// Guards against a request that runs at another server because a copy of a refusal is believed.
TEST_CASE("a request that a copy of a refusal precedes runs at one server only")
{
    for (const std::string status : {"421 Other", "503 Full"}) {
        INFO(status);
        std::atomic<std::size_t> refusing = servers_in_play;
        std::atomic<int> ran = 0;
        forwarding_fixture* known = nullptr;
        const auto serve = [&](std::size_t index) {
            return [&, index](const std::string&) {
                auto nobody = servers_in_play;
                if (!refusing.compare_exchange_strong(nobody, index)) {
                    ++ran;
                    return scripted_reply{make_signed_reply("7", "ran")};
                }
                const bool is_new_process = status.starts_with("421");
                known->put_entry(index, is_new_process ? "another" : "s" + std::to_string(index), 2);
                scripted_reply reply{refusal_of("7", status)};
                reply.before_next = reply.bytes;
                return reply;
            };
        };
        forwarding_fixture fixture({serve(0), serve(1)}, false, core::milliseconds(2000), 3);
        known = &fixture;
        test_client client(fixture.port());
        client.send(make_request("7", "POST"));
        const auto answer = client.read_answer();
        INFO("the caller got " << answer);
        CHECK(ran == 1);
        CHECK(answer.starts_with("HTTP/1.1 200"));
    }
}
