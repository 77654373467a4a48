#pragma once

#include "core/core.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace knapweed::state {

/** Share of a service's traffic for each place (data centre or region); the shares sum to 1. */
template <typename Place>
using weights_of = std::map<Place, double>;
using weight_map = weights_of<core::data_centre_id>;

/** Limit on how much of a service's traffic may change its place. */
struct shift_cap {
    double share = 0.2; ///< share of the traffic that may move in any window
    core::milliseconds window{10000};
};

/** Holds the traffic weights of one service for its places (data centres or regions) and moves them towards a
    target, limited by a cap per sliding window (design 4.6).

    Moved weight is half the sum of the absolute changes, so any two states of the weights that are at most
    one window apart differ by at most the cap. Spills, which are requests sent to another place than the
    weights select, count as moved weight. In any window, whatever its alignment, the sum of moves and spills
    is at most the cap that was in force at the last move of the window.

    Use one object for each service and call:
    - `set_cap` with each new configuration, and `set_target` whenever health, drains or capacities change;
    - on a newly started instance `adopt` with the weights of its peers, before the first `set_target`. An
      object without weights applies its first target at once, because no traffic follows its weights yet;
    - `tick` at least every 10 ms;
    - `next` for each request. If the selected place cannot accept the request, call `try_spill`; when that
      returns false, refuse the request with the reason `shift_cap`.
*/
template <typename Place>
class basic_shift_limiter {
public:
    using weight_map = weights_of<Place>;

    /** @param time must outlive this object. */
    basic_shift_limiter(shift_cap cap, const core::clock& time);

    /** Changes the cap. A lower cap or a longer window applies to every window that ends from now on; a
        higher cap allows only the difference to move in addition. */
    void set_cap(shift_cap cap);

    /** Sets the weights that `tick` moves towards.
        @param target relative weights, not negative. Ignored when their sum is 0, because then no place can
        accept the traffic. */
    void set_target(const weight_map& target);

    /** Initialises the weights with the mean of the peers' weights; ignored when this object already has
        weights.
        @returns whether the weights were initialised. */
    bool adopt(const std::vector<weight_map>& peers);

    /** Moves the weights towards the target as far as the cap allows. */
    void tick();

    /** Counts a request and selects its place by smooth weighted round robin.
        @returns nothing when there are no weights. */
    [[nodiscard]] std::optional<Place> next();

    /** Counts the latest request as a spill: it is sent to another place than `next` selected.
        @returns false, without counting it, when the part of the remaining cap that its rank may use is too
        small for it. */
    [[nodiscard]] bool try_spill(core::rank rank);

    [[nodiscard]] const weight_map& weights() const { return weights_; }
    [[nodiscard]] const weight_map& target() const { return target_; }
    [[nodiscard]] bool is_shifting() const { return weights_ != target_; }
    /** @returns the weight that moved or spilled in the window that ends now. */
    [[nodiscard]] double used_in_window() const;

private:
    /** Sum of the amounts that were recorded within a short interval. */
    struct timed_amount {
        core::time_point first; ///< time of the earliest amount
        core::time_point last;  ///< time of the latest amount
        double amount = 0;
    };
    using history = std::deque<timed_amount>;

    void record(history& entries, double amount) const;
    [[nodiscard]] double sum_in_window(const history& entries) const;
    [[nodiscard]] double requests_in_window() const;
    void drop_old_entries();

    shift_cap cap_;
    const core::clock& time_;
    weight_map weights_;
    weight_map target_;
    weight_map credit_; ///< accumulated by the round robin for each place
    history moves_;     ///< moved weight
    history spills_;    ///< spilled weight
    history requests_;  ///< number of requests
};

/** Weights of a service's data centres. */
using shift_limiter = basic_shift_limiter<core::data_centre_id>;
/** Weights of a service's regions. */
using region_shift_limiter = basic_shift_limiter<core::region_id>;

extern template class basic_shift_limiter<core::data_centre_id>;
extern template class basic_shift_limiter<core::region_id>;

} // namespace knapweed::state
