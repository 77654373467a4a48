#pragma once

#include "accounts/account_table.h"
#include "accounts/quota_bucket.h"
#include "core/random_source.h"

#include <cstdint>

namespace knapweed::accounts {

/** Requests of one account at one instance, or at several together. */
struct account_load {
    std::uint32_t account = 0; ///< `account_hash` of its name
    double demand = 0;         ///< requests per second that arrive
    double admitted = 0;       ///< requests per second that are sent to servers

    auto operator<=>(const account_load&) const = default;
};

/** @returns the number by which instances name an account to each other. */
[[nodiscard]] std::uint32_t account_hash(const core::account_id& account);

/** Limits the requests of each account over all instances together, without a coordinator.

    Instances tell each other what arrives and what they admit. Each of them simulates the token bucket that
   all have in common. While it holds enough tokens for the time that messages take, an instance admits what
   arrives, up to about twice its usual rate. When the tokens run short, or what the others admit is not
   known, it admits its own part of the rate, in proportion to its part of the demand; what all admitted too
   much is paid back. All instances compute their parts from the same sums, so the parts add up to the rate.

    Owned by the steerer.
*/
class quota_limiter {
public:
    /** @param time must outlive this object. @param seed another number in each instance. */
    quota_limiter(quota_margin margin, const core::clock& time, std::uint64_t seed);

    /** Applies the accounts of a configuration. The state of an account that stays is kept, also under
       another quota. @param table null without accounts. @param instances number of all instances. */
    void set_accounts(const account_table* table, std::size_t instances);
    /** @returns whether an account has a quota, so that loads have to be exchanged. */
    [[nodiscard]] bool is_active() const noexcept { return !buckets_.empty(); }

    /** Records that a request of the account has arrived.
        @returns the time until the quota allows a request; nothing if it allows this one. */
    [[nodiscard]] std::optional<core::duration> request_received(const client_account& account);
    /** Records that a request is sent to a server. One that was refused without being sent isn't counted. */
    void request_sent(const client_account& account);

    /** @returns the load of this instance by account, without accounts that have none. */
    [[nodiscard]] std::vector<account_load> own_load() const;
    /** Sets the sums over all other instances. @param instances number of all instances, this one included.
     */
    void set_others(const std::vector<account_load>& loads, std::size_t instances);
    /** Updates the rates and the buckets; call it about every 100 ms. */
    void tick();

private:
    quota_margin margin_;
    const core::clock& time_;
    core::random_source random_;
    core::time_point last_tick_;
    std::optional<core::time_point> others_at_;               ///< when the sums were set
    std::unordered_map<std::uint32_t, quota_bucket> buckets_; ///< of accounts with a quota, by `account_hash`
};

} // namespace knapweed::accounts
