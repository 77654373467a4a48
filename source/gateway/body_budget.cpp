#include "gateway/body_budget.h"

#include <algorithm>
#include <vector>

namespace knapweed::gateway {

namespace {

constexpr std::uint64_t bodies_divisor = 2;   ///< of the memory, for all bodies
constexpr std::uint64_t reserved_divisor = 8; ///< of that, for small bodies only
/** A request of which nothing has arrived for this time may be given up when others need its memory. */
constexpr core::milliseconds standstill{2000};
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
    const auto body_bytes = share.length.value_or(share.bytes - share.beside_body);
    return static_cast<double>(share.arrived) * limit.count() <
           static_cast<double>(body_bytes) * time.count();
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
    auto claim = claim_head(body.time_limit, body.at);
    if (!claim.begin_body(body.length, body.time_limit, body.at))
        claim.end();
    return claim;
}

body_claim body_budget::claim_head(core::duration time_limit, core::time_point now)
{
    body_share share;
    share.time_limit = time_limit;
    share.began = now;
    share.progressed = now;
    shares_.push_back(share);
    return {*this, std::prev(shares_.end())};
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
        revoke_slow_bodies(bytes - std::min(bytes, share.bytes), now);
    return false;
}

bool body_budget::grow_by(body_share& share, std::uint64_t bytes, core::time_point now)
{
    // A stated length may be near the greatest number.
    return bytes <= limits_.all_bodies && grow(share, share.bytes + bytes, now);
}

/** The memory of a revoked request is free when its reading has ended, so the claim in need isn't tried
 * again.
 */
void body_budget::revoke_slow_bodies(std::uint64_t needed, core::time_point now)
{
    if (revoked_at_ && now - *revoked_at_ < revoke_interval)
        return;
    revoked_at_ = now;
    std::vector<body_share*> candidates;
    for (auto& share : shares_) {
        const bool stands_still = !share.whole && now - share.progressed >= standstill;
        if (!share.revoked && share.bytes > 0 && (stands_still || is_slow(share, now)))
            candidates.push_back(&share);
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const auto* a, const auto* b) { return a->progressed < b->progressed; });
    std::uint64_t freed = 0;
    for (auto* share : candidates) {
        if (freed >= needed)
            break;
        share->revoked = true;
        freed += share->bytes;
    }
}

void body_budget::remove(std::list<body_share>::iterator share)
{
    (void)resize(*share, 0);
    shares_.erase(share);
}

} // namespace knapweed::gateway
