#pragma once

#include "accounts/client_account.h"
#include "accounts/event_rate.h"

namespace knapweed::accounts {

/** What is tolerated beyond the quotas in any window, over all instances together. */
struct quota_margin {
    double excess = 0; ///< as a part of the requests that a quota allows in the window
    double slack = 0;  ///< requests beyond that
};

/** One instance's part of the limit of one account. @see quota_limiter */
class quota_bucket {
public:
    /** @param instances number of all instances. @param random from 0 to 1, another number in each instance:
       it decides which of them have a token before they know the rates of the others. */
    quota_bucket(const quota& limit, quota_margin margin, std::size_t instances, double random);

    void set_limit(const quota& limit);
    [[nodiscard]] const quota& limit() const noexcept { return limit_; }

    void request_received() noexcept { demand_.record(); }
    /** @returns whether a request may be sent now. */
    [[nodiscard]] bool has_token() const noexcept { return tokens_ >= 1; }
    /** @returns the time until a request may be sent, if the rate stays. */
    [[nodiscard]] core::duration wait() const;
    void request_sent() noexcept;

    [[nodiscard]] double demand() const noexcept { return demand_.per_second(); }
    [[nodiscard]] double admitted() const noexcept { return admitted_.per_second(); }

    /** Sets the rates of all other instances together, and this one's part of all demand.
        @param instances number of all instances. */
    void set_others(double demand, double admitted, std::size_t instances);
    /** Refills the tokens. @param elapsed time since the last call. @param others_known the rates of the
       others are recent. */
    void refill(core::duration elapsed, bool others_known);
    /** @returns whether this instance admits only its part of the rate. */
    [[nodiscard]] bool is_scarce() const noexcept { return scarce_; }

private:
    [[nodiscard]] double common_capacity() const;

    quota limit_;
    quota_margin margin_;
    event_rate demand_;
    event_rate admitted_;
    double others_admitted_ = 0;
    double part_ = 0;            ///< of this instance in all demand, 0 to 1
    double reported_demand_ = 0; ///< of this instance, when its part was computed
    double common_tokens_;       ///< estimate of the bucket of all instances; negative after an excess
    double tokens_;              ///< that this instance may use
    double rate_ = 0;            ///< at which they are refilled
    bool scarce_ = true;         ///< until the common tokens are known to be ample
};

} // namespace knapweed::accounts
