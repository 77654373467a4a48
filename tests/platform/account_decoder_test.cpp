#include "platform/row_decoder.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using namespace knapweed::platform;

namespace {

std::string config_with(const std::string& tenants, const std::string& route_fields = "")
{
    return R"({"version":"00000001","routes":{"r":{"host":"a.example","prefix":"/x/","kind":"safe","timeoutMs":800,
        "service":"s1")" +
           route_fields + R"(}},"services":{"s1":{}},"tenants":)" + tenants + "}";
}

} // namespace

// Guards against fields of an account that are not read.
TEST_CASE("accounts, their keys and the routes without keys are decoded")
{
    const auto decoded = decode_policy(config_with(
        R"({"acme":{"apiKeys":["k1","k2"],"priority":0,"ratePerS":12.5,"burst":20,"allowedRegions":["east"]},"b":{"apiKeys":[]}})",
        R"(,"authExempt":true)"));
    const auto& policy = std::get<steering::traffic_policy>(decoded);
    REQUIRE(policy.routes.front().authentication_exempt);
    const auto* account = policy.accounts->find_by_key("k2");
    REQUIRE(account->id.str() == "acme");
    REQUIRE(account->urgency == 0U);
    REQUIRE(account->limit.per_second == 12.5);
    REQUIRE(account->limit.burst == 20);
    REQUIRE(account->allowed_regions.front().str() == "east");
    REQUIRE(policy.accounts->accounts().size() == 2);
    REQUIRE_FALSE(policy.accounts->accounts().back().limit.is_limited());
}

// Guards against a part of a configuration that is taken although another part is wrong, and against keys in
// logs.
TEST_CASE("a configuration with an account that can't be read is rejected as a whole, without its keys in "
          "the error")
{
    for (const auto* tenants :
         {R"([])", R"({"a":[]})", R"({"a":{"apiKeys":"secret"}})", R"({"a":{"apiKeys":["secret",5]}})",
          R"({"a":{"apiKeys":["secret",""]}})", R"({"a":{"apiKeys":["secret"]},"b":{"apiKeys":["secret"]}})",
          R"({"a":{"apiKeys":["secret"],"priority":-1}})", R"({"a":{"apiKeys":["secret"],"priority":"x"}})",
          R"({"a":{"apiKeys":["secret"],"ratePerS":-1}})", R"({"a":{"apiKeys":["secret"],"burst":1e300}})",
          R"({"a":{"apiKeys":["secret"],"allowedRegions":"east"}})", R"({"a":{"apiKeys":["secret)"}) {
        CAPTURE(tenants);
        const auto decoded = decode_policy(config_with(tenants));
        const auto* error = std::get_if<decode_error>(&decoded);
        REQUIRE(error != nullptr);
        CAPTURE(error->reason);
        REQUIRE(error->reason.find("secret") == std::string::npos);
    }
    REQUIRE(std::holds_alternative<decode_error>(decode_policy(config_with("{}", R"(,"authExempt":1)"))));
}
