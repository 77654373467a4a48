#include "forwarding_fixture.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using namespace knapweed::test;

namespace {

std::string make_order(const std::string& id, core::milliseconds time_limit)
{
    return "POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: " + id +
           "\r\nX-Left: " + std::to_string(time_limit.count()) + "\r\n\r\n";
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// Guards against orders that are passed on late in a planned stop and cut at the exit.
TEST_CASE("a request that may outlast the exit is refused in a planned stop and reaches no server")
{
    forwarding_fixture fixture({[](const auto&) { return scripted_reply{make_signed_reply("7", "done")}; }},
                               false);
    fixture.begin_shutdown(core::milliseconds(5200));
    test_client late(fixture.port());
    late.send(make_order("6", core::milliseconds(4900)));
    const auto refusal = late.read_to_end();
    CHECK(refusal.starts_with("HTTP/1.1 503"));
    CHECK(contains(refusal, "Retry-After: "));
    CHECK(fixture.requests_at_servers() == 0);
    test_client in_time(fixture.port());
    in_time.send(make_order("7", core::milliseconds(4300)));
    CHECK(in_time.read_to_end().starts_with("HTTP/1.1 200"));
}

// Guards against requests of other instances that are cut at the exit of the one that they are relayed to.
TEST_CASE("a relayed request that may outlast the exit is refused in a planned stop")
{
    forwarding_fixture fixture({[](const auto&) { return scripted_reply{make_signed_reply("7", "done")}; }});
    fixture.begin_shutdown(core::milliseconds(3000));
    test_client client(fixture.relay_port());
    client.send(make_request("7", "GET", "Knapweed-Relay: other\r\nKnapweed-Sends: 1\r\n"));
    CHECK(client.read_to_end().starts_with("HTTP/1.1 503"));
    CHECK(fixture.requests_at_servers() == 0);
}
