#include "accounts/quota_bucket.h"

#include <algorithm>
#include <cmath>

namespace knapweed::accounts {

namespace {

/** Time constant of the demand, by which the rate is divided: an instance sees less than one request a second
   of most accounts. */
constexpr core::milliseconds demand_time{3000};
/** Time constant of the admitted rate. With it and the interval of the messages an excess is noticed within
   half a second. */
constexpr core::milliseconds admitted_time{250};
/** Part of the tolerated slack that the common bucket holds; the rest is for what instances admit unnoticed.
 */
constexpr double usable_slack = 0.5;
/** Below this part of its capacity the common bucket counts as short of tokens. */
constexpr double scarce_share = 0.55;
/** Below the other one, until tokens have come back to this part: hysteresis. */
constexpr double ample_share = 0.7;
/** While tokens are ample, an instance may exceed its latest reported demand by this factor. */
constexpr double allowed_growth = 2;
/** Requests that an instance may admit at once while tokens are ample, beyond its part of the burst: callers
   come in clumps, and may move to another instance. */
constexpr double ample_burst = 5;
constexpr double ample_burst_share = 0.5;
/** Rate at which an instance without reported demand gets these tokens. */
constexpr double ample_rate = 2;
/** Part of a scarce rate that is divided equally, for an account that moves to an instance without reported
 * demand.
 */
constexpr double equal_share = 0.1;
/** An excess is paid back over this time, with at most this part of the rate. */
constexpr double payback_seconds = 2;
constexpr double max_payback = 0.5;
/** Part of the common tokens that an instance assumes at its start: the others may have used the rest. */
constexpr double start_share = 0.56;
constexpr core::milliseconds longest_wait{5000};

} // namespace

quota_bucket::quota_bucket(const quota& limit, quota_margin margin, std::size_t instances, double random)
    : limit_(limit), margin_(margin), demand_(demand_time), admitted_(admitted_time),
      part_(1.0 / static_cast<double>(std::max<std::size_t>(instances, 1))),
      common_tokens_(start_share * common_capacity())
{
    // After a power cut all instances begin like this, so together they may have no more than the common
    // tokens. One with a larger share gets its first token soon.
    constexpr double rate_without_token = 0.5;
    if (limit_.per_second * part_ < rate_without_token && random < common_tokens_ * part_)
        tokens_ = 1;
    // Until this instance has told the others its demand, it may use an equal part.
    reported_demand_ = limit_.per_second * part_;
}

double quota_bucket::common_capacity() const
{
    return limit_.burst + usable_slack * margin_.slack;
}

void quota_bucket::set_limit(const quota& limit)
{
    limit_ = limit;
    common_tokens_ = std::min(common_tokens_, common_capacity());
}

core::duration quota_bucket::wait() const
{
    if (has_token())
        return core::duration::zero();
    if (rate_ <= 0)
        return longest_wait;
    const std::chrono::duration<double> time((1 - tokens_) / rate_);
    return std::chrono::duration_cast<core::duration>(
        std::min<std::chrono::duration<double>>(time, longest_wait));
}

void quota_bucket::request_sent() noexcept
{
    admitted_.record();
    tokens_ -= 1;
}

void quota_bucket::set_others(double demand, double admitted, std::size_t instances)
{
    const double equal = 1.0 / static_cast<double>(std::max<std::size_t>(instances, 1));
    const double all = demand + demand_.per_second();
    const double by_demand = all > 0 ? demand_.per_second() / all : equal;
    others_admitted_ = admitted;
    reported_demand_ = demand_.per_second();
    part_ = (1 - equal_share) * by_demand + equal_share * equal;
}

void quota_bucket::refill(core::duration elapsed, bool others_known)
{
    demand_.update(elapsed);
    admitted_.update(elapsed);
    const double seconds = std::chrono::duration<double>(elapsed).count();
    const double capacity = common_capacity();
    common_tokens_ += (limit_.per_second - others_admitted_ - admitted_.per_second()) * seconds;
    common_tokens_ = std::min(common_tokens_, capacity);
    const bool was_scarce = scarce_;
    scarce_ = !others_known || common_tokens_ < (was_scarce ? ample_share : scarce_share) * capacity;
    const double part_of_rate = limit_.per_second * part_;
    double burst = limit_.burst * part_;
    if (scarce_) {
        const double debt = std::max(0.0, -common_tokens_) / payback_seconds;
        const double paid_back = std::min(debt / limit_.per_second, max_payback);
        rate_ = part_of_rate * (1 - paid_back);
        // The others count on the demand that this instance told them last.
        if (!others_known)
            rate_ = std::min(rate_, std::max(reported_demand_, equal_share * part_of_rate));
        if (!was_scarce)
            tokens_ = std::min(tokens_, burst * std::max(0.0, common_tokens_ / capacity));
        burst = std::max(burst * scarce_share, 1.0);
    }
    else {
        rate_ = std::max({part_of_rate, allowed_growth * reported_demand_, ample_rate});
        burst = ample_burst + ample_burst_share * burst;
    }
    tokens_ = std::min(tokens_ + rate_ * seconds, burst);
}

} // namespace knapweed::accounts
