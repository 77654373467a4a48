#pragma once

#include "accounts/client_account.h"

#include <functional>
#include <string_view>
#include <unordered_map>
#include <variant>

namespace knapweed::accounts {

/** What makes a list of accounts invalid. */
struct account_error {
    core::account_id account;
    std::string reason; ///< doesn't contain the key
};

/** The client accounts of a configuration, found by their API keys. */
class account_table {
public:
    account_table() = default;

    /** @returns a table of the accounts, or an error when a key is empty or belongs to two accounts, or a
       name can't stand in a header field. */
    [[nodiscard]] static std::variant<account_table, account_error>
    make(std::vector<client_account> accounts);

    /** @returns the account with this key, or null. It lives as long as the table stays where it is. */
    [[nodiscard]] const client_account* find_by_key(std::string_view key) const;
    [[nodiscard]] const std::vector<client_account>& accounts() const noexcept { return accounts_; }

private:
    /** Allows look-ups of a `string_view` without a copy. */
    struct text_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
    };

    std::vector<client_account> accounts_;
    std::unordered_map<std::string, std::size_t, text_hash, std::equal_to<>>
        by_key_; ///< place of the account
};

} // namespace knapweed::accounts
