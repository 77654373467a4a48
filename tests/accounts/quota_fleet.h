#pragma once

#include "accounts/accounts.h"
#include "core/random_source.h"
#include "core/simulated_clock.h"

#include <deque>
#include <functional>
#include <memory>

namespace knapweed::test {

/** Instances that limit one account together, on a simulated clock. What one sends arrives at the others
   after the time that two messages by way of a hub take. */
class quota_fleet {
public:
    quota_fleet(std::size_t instances, accounts::quota limit, std::uint64_t seed);

    /** Changes the quota at all instances. */
    void set_limit(accounts::quota limit);
    /** Replaces the process of an instance, which then knows nothing. */
    void restart(std::size_t instance);
    /** Adds an instance. */
    void add_instance();
    /** Cuts an instance off from all others, or connects it again. */
    void set_cut(std::size_t instance, bool cut) { members_[instance].cut = cut; }
    [[nodiscard]] std::size_t size() const noexcept { return members_.size(); }
    [[nodiscard]] core::random_source& random() noexcept { return random_; }

    /** Lets requests arrive for a time. @param per_second of all instances together. @param pick chooses the
        instance of a request. */
    void play(core::milliseconds length, double per_second, const std::function<std::size_t()>& pick);
    /** As above, at random instances. */
    void play(core::milliseconds length, double per_second);

    [[nodiscard]] std::size_t arrived() const noexcept { return arrived_; }
    [[nodiscard]] std::size_t refused() const noexcept { return refused_; }
    /** Sets both counts to 0. */
    void reset_counts() noexcept { arrived_ = refused_ = 0; }
    /** @returns the greatest number of requests that were admitted in any 5 s since the last call of
     * `forget`. */
    [[nodiscard]] std::size_t most_in_window() const noexcept { return most_in_window_; }
    /** Leaves out what was admitted so far. */
    void forget();
    /** @returns the number of requests that the users tolerate in 5 s. */
    [[nodiscard]] double tolerated() const;

private:
    struct member {
        std::unique_ptr<accounts::quota_limiter> limiter;
        std::vector<accounts::account_load> sent; ///< latest load that the others have received
        bool cut = false;
    };
    struct message {
        core::time_point arrives;
        std::size_t from;
        std::vector<accounts::account_load> load;
    };

    void start(member& started);
    void step();
    void request(std::size_t instance);

    core::simulated_clock time_;
    core::random_source random_;
    accounts::account_table table_;
    std::vector<member> members_;
    std::deque<message> messages_;
    std::deque<core::time_point> admitted_; ///< in the last 5 s
    std::size_t steps_ = 0;
    std::size_t arrived_ = 0;
    std::size_t refused_ = 0;
    std::size_t most_in_window_ = 0;
};

} // namespace knapweed::test
