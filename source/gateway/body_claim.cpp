#include "gateway/body_claim.h"

#include "gateway/body_budget.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace knapweed::gateway {

body_claim::body_claim(body_budget& budget, std::list<body_share>::iterator share)
    : budget_(&budget), share_(share)
{}

body_claim::body_claim(body_claim&& other) noexcept
    : budget_(std::exchange(other.budget_, nullptr)), share_(other.share_)
{}

body_claim& body_claim::operator=(body_claim&& other) noexcept
{
    if (this != &other) {
        end();
        budget_ = std::exchange(other.budget_, nullptr);
        share_ = other.share_;
    }
    return *this;
}

body_claim::~body_claim()
{
    end();
}

bool body_claim::revoked() const
{
    return holds() && share_->revoked;
}

std::uint64_t body_claim::bytes() const
{
    return holds() ? share_->bytes : 0;
}

bool body_claim::grow(std::uint64_t arrived, std::uint64_t ahead, core::time_point now)
{
    if (!holds() || share_->revoked)
        return false;
    if (arrived > share_->arrived)
        share_->progressed = now;
    share_->arrived = arrived;
    const auto needed = arrived + ahead;
    // The memory of a body in chunks doubles as it grows; while it is copied, the old and the new one are in
    // use.
    return share_->length || share_->beside_body + needed <= share_->bytes ||
           budget_->grow(*share_, share_->beside_body + std::bit_ceil(needed), now);
}

bool body_claim::cover(std::uint64_t bytes, core::time_point now)
{
    if (!holds() || share_->revoked)
        return false;
    const auto body = share_->bytes - share_->beside_body;
    if (bytes != share_->beside_body && !budget_->grow(*share_, body + bytes, now))
        return false;
    if (bytes > share_->beside_body)
        share_->progressed = now;
    share_->beside_body = bytes;
    return true;
}

bool body_claim::begin_body(std::optional<std::uint64_t> length, core::duration time_limit,
                            core::time_point now)
{
    if (!holds() || share_->revoked)
        return false;
    share_->length = length;
    share_->time_limit = time_limit;
    share_->began = now;
    share_->progressed = now;
    return budget_->grow_by(*share_, length.value_or(body_budget::first_claim_bytes), now);
}

void body_claim::drop_body()
{
    if (!holds())
        return;
    share_->length.reset();
    (void)budget_->resize(*share_, share_->beside_body);
}

void body_claim::body_is_whole()
{
    if (holds())
        share_->whole = true;
}

void body_claim::end()
{
    if (auto* const budget = std::exchange(budget_, nullptr))
        budget->remove(share_);
}

} // namespace knapweed::gateway
