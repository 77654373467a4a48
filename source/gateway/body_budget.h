#pragma once

#include "core/core.h"
#include "gateway/body_claim.h"

#include <list>

namespace knapweed::gateway {

/** Memory for the bodies of all requests of an instance, in bytes. */
struct body_limits {
    std::uint64_t all_bodies = 0;   ///< of all bodies together
    std::uint64_t large_bodies = 0; ///< of the large ones together; the rest is left to small ones
};

/** A body up to this size is small. */
inline constexpr std::uint64_t max_small_body_bytes = std::uint64_t{64} * 1024;

/** @returns limits that leave an instance half of its memory for everything else. @param memory of the
   machine, in bytes. */
[[nodiscard]] body_limits make_body_limits(std::uint64_t memory);

/** What is known of a request before it is read. */
struct announced_body {
    std::optional<std::uint64_t> length; ///< none of a body in chunks
    core::duration time_limit{0};        ///< for reading it
    core::time_point at;                 ///< when reading begins
};

/** Divides the memory for bodies among the requests that are being read or forwarded.

    A body with a stated length claims it whole before it is read; one in chunks claims more as it grows. What
   doesn't fit is refused rather than kept waiting: bodies in chunks that wait for each other's memory would
   never end, and a refused caller may find room at another instance at once. When a claim doesn't fit, those
   bodies are revoked that are too slow to arrive in their time limit, so that no caller occupies memory that
   it doesn't fill.
*/
class body_budget {
public:
    explicit body_budget(const body_limits& limits);
    body_budget(const body_budget&) = delete;
    body_budget& operator=(const body_budget&) = delete;
    ~body_budget();

    /** @returns whether a body of this length fits when nothing else is in progress. */
    [[nodiscard]] bool can_fit(std::uint64_t bytes) const;
    /** Claims memory for a request whose head is to be read. @param time_limit for reading the head. */
    [[nodiscard]] body_claim claim_head(core::duration time_limit, core::time_point now);
    /** Claims memory for a body. @returns a claim that holds nothing when it doesn't fit. The budget must
     * outlive it.
     */
    [[nodiscard]] body_claim claim(const announced_body& body);
    /** @returns the bytes claimed at present. */
    [[nodiscard]] std::uint64_t claimed() const noexcept { return claimed_; }

private:
    friend class body_claim;

    /** First claim of a body in chunks. */
    static constexpr std::uint64_t first_claim_bytes = 4096;

    /** Changes the bytes of a body. @returns false, and changes nothing, when they don't fit. */
    [[nodiscard]] bool resize(body_share& share, std::uint64_t bytes);
    /** @see resize. Revokes slow bodies when the bytes don't fit. */
    [[nodiscard]] bool grow(body_share& share, std::uint64_t bytes, core::time_point now);
    /** As above, by a number of bytes, which may be near the greatest one. */
    [[nodiscard]] bool grow_by(body_share& share, std::uint64_t bytes, core::time_point now);
    /** Revokes those that stand still or are too slow, the one that stands still for longest first, until @p
       needed bytes will be free. */
    void revoke_slow_bodies(std::uint64_t needed, core::time_point now);
    void remove(std::list<body_share>::iterator share);

    body_limits limits_;
    std::list<body_share> shares_;
    std::uint64_t claimed_ = 0;
    std::uint64_t claimed_by_large_ = 0;
    std::optional<core::time_point> revoked_at_; ///< when slow bodies were last looked for
};

} // namespace knapweed::gateway
