#include "gateway/body_budget.h"

namespace knapweed::gateway {

namespace {

constexpr std::uint64_t bodies_divisor = 2;   ///< of the memory, for all bodies
constexpr std::uint64_t reserved_divisor = 8; ///< of that, for small bodies only
/** First claim of a body in chunks. */
constexpr std::uint64_t first_claim_bytes = 4096;
/** A body may begin to arrive so late, because of the distance of its caller. */
constexpr core::milliseconds slow_start{500};
constexpr core::milliseconds revoke_interval{100};

bool is_large(std::uint64_t bytes)
{
    return bytes > max_small_body_bytes;
}

/** @returns whether a body can't arrive within its time limit at its mean rate so far. Of a body in chunks,
   the claimed bytes stand for the length. */
bool is_slow(const body_share& share, core::time_point now)
{
    const auto elapsed = now - share.began - slow_start;
    if (share.whole || elapsed <= core::duration::zero())
        return false;
    const std::chrono::duration<double> time(elapsed);
    const std::chrono::duration<double> limit(share.time_limit);
    return static_cast<double>(share.arrived) * limit.count() <
           static_cast<double>(share.length.value_or(share.bytes)) * time.count();
}

} // namespace

body_limits make_body_limits(std::uint64_t memory)
{
    const auto all_bodies = memory / bodies_divisor;
    return {all_bodies, all_bodies - all_bodies / reserved_divisor};
}

body_budget::body_budget(const body_limits& limits) : limits_(limits) {}

body_budget::~body_budget() = default;

bool body_budget::can_fit(std::uint64_t bytes) const
{
    return bytes <= (is_large(bytes) ? limits_.large_bodies : limits_.all_bodies);
}

body_claim body_budget::claim(const announced_body& body)
{
    shares_.push_back({0, 0, body.length, body.time_limit, body.at});
    body_claim claim(*this, std::prev(shares_.end()));
    if (!grow(shares_.back(), body.length.value_or(first_claim_bytes), body.at))
        claim.end();
    return claim;
}

bool body_budget::resize(body_share& share, std::uint64_t bytes)
{
    const auto others = claimed_ - share.bytes;
    const auto other_large = claimed_by_large_ - (is_large(share.bytes) ? share.bytes : 0);
    const auto large = is_large(bytes) ? bytes : 0;
    // Compared without a sum, which a stated length near the greatest number would overflow.
    if (bytes > limits_.all_bodies - others || (large > 0 && large > limits_.large_bodies - other_large))
        return false;
    claimed_ = others + bytes;
    claimed_by_large_ = other_large + large;
    share.bytes = bytes;
    return true;
}

bool body_budget::grow(body_share& share, std::uint64_t bytes, core::time_point now)
{
    if (resize(share, bytes))
        return true;
    if (can_fit(bytes))
        revoke_slow_bodies(now);
    return false;
}

/** The memory of a revoked body is free when its reading has ended, so the claim in need isn't tried again.
 */
void body_budget::revoke_slow_bodies(core::time_point now)
{
    if (revoked_at_ && now - *revoked_at_ < revoke_interval)
        return;
    revoked_at_ = now;
    for (auto& share : shares_)
        share.revoked = share.revoked || is_slow(share, now);
}

void body_budget::remove(std::list<body_share>::iterator share)
{
    (void)resize(*share, 0);
    shares_.erase(share);
}

} // namespace knapweed::gateway
