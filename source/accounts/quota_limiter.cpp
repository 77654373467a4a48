#include "accounts/quota_limiter.h"

#include <algorithm>
#include <utility>

namespace knapweed::accounts {

namespace {

/** Sums of the others that are older are in doubt. Several messages may be lost until then. */
constexpr core::milliseconds others_valid_for{1200};

} // namespace

std::uint32_t account_hash(const core::account_id& account)
{
    return static_cast<std::uint32_t>(core::hash_text(account.str()));
}

quota_limiter::quota_limiter(quota_margin margin, const core::clock& time, std::uint64_t seed)
    : margin_(margin), time_(time), random_(seed), last_tick_(time.now())
{}

void quota_limiter::set_accounts(const account_table* table, std::size_t instances)
{
    std::unordered_map<std::uint32_t, quota_bucket> buckets;
    if (table != nullptr) {
        for (const auto& account : table->accounts()) {
            if (!account.limit.is_limited())
                continue;
            const auto hash = account_hash(account.id);
            const auto known = buckets_.find(hash);
            auto& bucket =
                known == buckets_.end()
                    ? buckets.try_emplace(hash, account.limit, margin_, instances, random_.fraction())
                          .first->second
                    : buckets.try_emplace(hash, known->second).first->second;
            bucket.set_limit(account.limit);
        }
    }
    buckets_ = std::move(buckets);
}

std::optional<core::duration> quota_limiter::request_received(const client_account& account)
{
    const auto found = account.limit.is_limited() ? buckets_.find(account_hash(account.id)) : buckets_.end();
    if (found == buckets_.end())
        return std::nullopt;
    auto& bucket = found->second;
    bucket.request_received();
    return bucket.has_token() ? std::nullopt : std::optional(bucket.wait());
}

void quota_limiter::request_sent(const client_account& account)
{
    const auto found = account.limit.is_limited() ? buckets_.find(account_hash(account.id)) : buckets_.end();
    if (found != buckets_.end())
        found->second.request_sent();
}

std::vector<account_load> quota_limiter::own_load() const
{
    // Smaller rates are what remains of requests long ago.
    constexpr double min_rate = 0.01;
    std::vector<account_load> loads;
    for (const auto& [hash, bucket] : buckets_) {
        if (bucket.demand() >= min_rate || bucket.admitted() >= min_rate)
            loads.push_back({hash, bucket.demand(), bucket.admitted()});
    }
    std::sort(loads.begin(), loads.end());
    return loads;
}

void quota_limiter::set_others(const std::vector<account_load>& loads, std::size_t instances)
{
    others_at_ = time_.now();
    std::unordered_map<std::uint32_t, account_load> by_account;
    for (const auto& load : loads)
        by_account[load.account] = load;
    for (auto& [hash, bucket] : buckets_) {
        const auto found = by_account.find(hash);
        const auto load = found == by_account.end() ? account_load{} : found->second;
        bucket.set_others(load.demand, load.admitted, instances);
    }
}

void quota_limiter::tick()
{
    const auto now = time_.now();
    const auto elapsed = now - std::exchange(last_tick_, now);
    if (elapsed <= core::duration::zero())
        return;
    const bool others_known = others_at_ && now - *others_at_ < others_valid_for;
    for (auto& [hash, bucket] : buckets_)
        bucket.refill(elapsed, others_known);
}

} // namespace knapweed::accounts
