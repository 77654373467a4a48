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
    share_->arrived = arrived;
    const auto needed = arrived + ahead;
    // The memory of a body in chunks doubles as it grows; while it is copied, the old and the new one are in
    // use.
    return share_->length || needed <= share_->bytes || budget_->grow(*share_, std::bit_ceil(needed), now);
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
