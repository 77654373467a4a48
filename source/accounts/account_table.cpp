#include "accounts/account_table.h"

#include <algorithm>

namespace knapweed::accounts {

namespace {

/** @returns whether the text is a sequence of visible ASCII characters, so that it can't end a header field.
 */
bool is_visible(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
}

} // namespace

std::variant<account_table, account_error> account_table::make(std::vector<client_account> accounts)
{
    account_table table;
    table.accounts_ = std::move(accounts);
    for (std::size_t i = 0; i < table.accounts_.size(); ++i) {
        const auto& account = table.accounts_[i];
        if (!is_visible(account.id.str()))
            return account_error{account.id, "the name is empty or has characters other than visible ASCII"};
        for (const auto& key : account.api_keys) {
            if (key.empty())
                return account_error{account.id, "an API key is empty"};
            const auto holder = table.by_key_.try_emplace(key, i).first->second;
            if (holder != i)
                return account_error{account.id, "an API key also belongs to the account " +
                                                     table.accounts_[holder].id.str()};
        }
    }
    return table;
}

const client_account* account_table::find_by_key(std::string_view key) const
{
    const auto found = by_key_.find(key);
    return found == by_key_.end() ? nullptr : &accounts_[found->second];
}

} // namespace knapweed::accounts
