#include "accounts/accounts.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using namespace knapweed::accounts;

namespace {

client_account make_account(const std::string& name, std::vector<std::string> keys)
{
    client_account account;
    account.id = core::account_id{name};
    account.api_keys = std::move(keys);
    return account;
}

} // namespace

// Guards against a key that is taken for that of another account, or for a prefix of it.
TEST_CASE("an account is found by each of its keys and by no other text")
{
    const auto made =
        account_table::make({make_account("a", {"key-1", "key-2"}), make_account("b", {"key-3"})});
    const auto& table = std::get<account_table>(made);
    REQUIRE(table.find_by_key("key-1")->id.str() == "a");
    REQUIRE(table.find_by_key("key-2")->id.str() == "a");
    REQUIRE(table.find_by_key("key-3")->id.str() == "b");
    for (const auto* text : {"", "key-", "key-11", "KEY-1", " key-1", "a"})
        REQUIRE(table.find_by_key(text) == nullptr);
}

// Guards against a request that runs for the wrong account, and against a name that ends a header field.
TEST_CASE("a key of two accounts, an empty key and an unprintable name are errors that don't state the key")
{
    for (const auto& accounts :
         {std::vector{make_account("a", {"secret"}), make_account("b", {"secret"})},
          std::vector{make_account("a", {"secret", ""})}, std::vector{make_account("a\r\nX: 1", {"secret"})},
          std::vector{make_account("", {"secret"})}}) {
        const auto made = account_table::make(accounts);
        const auto* error = std::get_if<account_error>(&made);
        REQUIRE(error != nullptr);
        REQUIRE(error->reason.find("secret") == std::string::npos);
    }
}
