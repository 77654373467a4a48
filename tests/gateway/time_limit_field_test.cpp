#include "forwarding_fixture.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using namespace knapweed::test;

// Guards against a caller's time limit that overflows and lifts the time limit of the route.
TEST_CASE("a time limit beyond the range of times doesn't lift that of the route")
{
    constexpr core::milliseconds route_limit{200};
    constexpr core::milliseconds run_time{1200};
    for (const auto* limit : {"9223372036954775808", "18446744073709551615", "9223372036854775807"}) {
        forwarding_fixture fixture({[&](const auto&) {
                                       std::this_thread::sleep_for(run_time);
                                       return scripted_reply{make_signed_reply("7", "late")};
                                   }},
                                   true, route_limit);
        auto request = make_request("7", "GET", "Connection: close\r\n");
        request.replace(request.find("X-Left: 4000"), 12, std::string("X-Left: ") + limit);
        test_client client(fixture.port());
        client.send(request);
        const auto answer = client.read_to_end();
        INFO(limit << ": " << answer);
        CHECK(answer.starts_with("HTTP/1.1 504"));
    }
}

// Guards against a server that counts as cold for years because of a time that overflows.
TEST_CASE("a cold time beyond the range of times is ignored")
{
    for (const auto* cold_ms : {"9223372036954775808", "18446744073709551615", "9223372036854775807"}) {
        forwarding_fixture fixture({[&](const auto&) {
            return scripted_reply{make_reply(
                "200 OK", std::string("X-Id: 7\r\nX-Seal: sealed\r\nX-Cold: ") + cold_ms + "\r\n", "done")};
        }});
        test_client client(fixture.port());
        client.send(make_request("7", "GET", "Connection: close\r\n"));
        CHECK(client.read_to_end().starts_with("HTTP/1.1 200"));
        bool is_cold = false;
        fixture.run_on_gateway_thread([&] { is_cold = fixture.is_cold(0); });
        INFO(cold_ms);
        CHECK_FALSE(is_cold);
    }
}
