#include "forwarding_fixture.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using namespace knapweed::test;

namespace {

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

std::size_t count(const std::string& text, const std::string& part)
{
    std::size_t number = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++number;
    return number;
}

scripted_reply answer_normally(const std::string& request)
{
    const auto begin = request.find("X-Id: ") + 6;
    return {make_signed_reply(request.substr(begin, request.find("\r\n", begin) - begin), "whole body")};
}

/** Adds the account `acme` with the key `sesame`. */
void add_account(steering::traffic_policy& policy)
{
    accounts::client_account account;
    account.id = core::account_id{"acme"};
    account.api_keys = {"sesame"};
    policy.accounts = std::get<accounts::account_table>(accounts::account_table::make({account}));
}

std::string answer_to(forwarding_fixture& fixture, const std::string& fields)
{
    test_client client(fixture.port());
    client.send(make_request("7", "GET", fields));
    return client.read_answer();
}

} // namespace

// Guards against keys that servers or the log see, and against an account that the caller states itself.
TEST_CASE("a server receives the name of the account, never the key or what the caller stated")
{
    forwarding_fixture fixture({answer_normally});
    fixture.change_policy(add_account);
    const auto answer = answer_to(fixture, "X-Key: sesame\r\nx-account: forged\r\nX-Account: forged\r\n");
    REQUIRE(answer.starts_with("HTTP/1.1 200"));
    const auto forwarded = fixture.server(0).requests().front();
    REQUIRE(count(forwarded, "X-Account: acme\r\n") == 1);
    REQUIRE_FALSE(contains(forwarded, "forged"));
    REQUIRE_FALSE(contains(forwarded, "sesame"));
    REQUIRE_FALSE(contains(fixture.take_log(), "sesame"));
}

// Guards against an unknown key that reaches a server, and against two keys of which each side takes another
// one.
TEST_CASE("a request without a key, with an unknown one or with two is answered with 401 and not forwarded")
{
    forwarding_fixture fixture({answer_normally});
    fixture.change_policy(add_account);
    for (const auto* fields :
         {"", "X-Key: other\r\n", "X-Key: sesame\r\nX-Key: other\r\n", "X-Account: acme\r\n"})
        REQUIRE(answer_to(fixture, fields).starts_with("HTTP/1.1 401"));
    REQUIRE(fixture.requests_at_servers() == 0);
}

// Guards against fields that pass a route without keys.
TEST_CASE("on an exempt route neither a key nor an account that the caller states reaches the server")
{
    forwarding_fixture fixture({answer_normally});
    fixture.change_policy([](steering::traffic_policy& policy) {
        add_account(policy);
        for (auto& route : policy.routes)
            route.authentication_exempt = true;
    });
    REQUIRE(answer_to(fixture, "X-Key: sesame\r\nX-Account: acme\r\n").starts_with("HTTP/1.1 200"));
    const auto forwarded = fixture.server(0).requests().front();
    REQUIRE_FALSE(contains(forwarded, "X-Account"));
    REQUIRE_FALSE(contains(forwarded, "X-Key"));
}

// Guards against a change for configurations without accounts.
TEST_CASE("without accounts in the configuration these fields are forwarded like all others")
{
    forwarding_fixture fixture({answer_normally});
    REQUIRE(answer_to(fixture, "X-Key: sesame\r\nX-Account: any\r\n").starts_with("HTTP/1.1 200"));
    const auto forwarded = fixture.server(0).requests().front();
    REQUIRE(contains(forwarded, "X-Key: sesame\r\n"));
    REQUIRE(contains(forwarded, "X-Account: any\r\n"));
}

// Guards against a withdrawn key that stays in use on a connection that was open before.
TEST_CASE("a withdrawn key is refused on a connection that has used it")
{
    forwarding_fixture fixture({answer_normally});
    fixture.change_policy(add_account);
    test_client client(fixture.port());
    client.send(make_request("7", "GET", "X-Key: sesame\r\n"));
    REQUIRE(client.read_answer().starts_with("HTTP/1.1 200"));
    fixture.change_policy([](steering::traffic_policy& policy) { policy.accounts.emplace(); });
    client.send(make_request("8", "GET", "X-Key: sesame\r\n"));
    REQUIRE(client.read_answer().starts_with("HTTP/1.1 401"));
}
