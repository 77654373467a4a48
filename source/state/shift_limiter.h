#pragma once

#include "core/core.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace knapweed::state {

/** Share of the traffic by place; sums to 1. */
template <typename Place>
using weights_of = std::map<Place, double>;
using weight_map = weights_of<core::data_centre_id>;

struct shift_cap {
    double share = 0.2; ///< of the traffic, that may move in any window
    core::milliseconds window{10000};
};

/** Weights of one service by place (data centre or region), moved only under a sliding-window cap
   (design 4.6).

    Moved weight is half the sum of the absolute changes, so that any two states of the weights that are at
    most one window apart differ by at most the cap. Spills count as moved weight. In any window, of whatever
    alignment, the sum of both is at most the cap that was in force at the window's last move.

    Driven by its owner, one object for each service:
    - `set_cap` with each new configuration; `set_target` whenever health, drains or capacities change;
    - a fresh instance calls `adopt` with its peers' weights before the first `set_target`; the first target
      of an object without weights is taken over whole, since no traffic follows any weights yet;
    - `tick` at least every 10 ms;
    - for each request `next`; if that data centre cannot accept the request, `try_spill`, and when that says
      no, refuse the request with `shift_cap`.
*/
template <typename Place>
class basic_shift_limiter {
public:
    using weight_map = weights_of<Place>;

    /** @param time must outlive this object. */
    basic_shift_limiter(shift_cap cap, const core::clock& time);

    /** A lower cap or a longer window holds for every window that ends from now on; a higher cap releases
       only the difference. */
    void set_cap(shift_cap cap);

    /** @param target relative weights; not negative. Ignored when their sum is 0, because no data centre can
        take the traffic then. */
    void set_target(const weight_map& target);

    /** Takes the mean of the peers' weights; ignored unless this object has no weights yet.
        @returns whether the weights were taken. */
    bool adopt(const std::vector<weight_map>& peers);

    /** Moves the weights towards the target as far as the cap allows. */
    void tick();

    /** Counts a request and chooses its place by smooth weighted round robin.
        @returns nothing when there are no weights. */
    [[nodiscard]] std::optional<Place> next();

    /** Accounts for sending the latest request elsewhere than `next` said.
        @returns false, without accounting, when its rank's share of the cap that is left does not allow it.
     */
    [[nodiscard]] bool try_spill(core::rank rank);

    [[nodiscard]] const weight_map& weights() const { return weights_; }
    [[nodiscard]] const weight_map& target() const { return target_; }
    [[nodiscard]] bool is_shifting() const { return weights_ != target_; }
    /** @returns moved and spilled weight in the window that ends now. */
    [[nodiscard]] double used_in_window() const;

private:
    struct timed_amount {
        core::time_point first; ///< of the amounts that were merged
        core::time_point last;
        double amount = 0;
    };
    using history = std::deque<timed_amount>;

    void record(history& entries, double amount) const;
    [[nodiscard]] double sum_in_window(const history& entries) const;
    [[nodiscard]] double requests_in_window() const;
    void forget_old();

    shift_cap cap_;
    const core::clock& time_;
    weight_map weights_;
    weight_map target_;
    weight_map credit_; ///< of the round robin
    history moves_;     ///< moved weight
    history spills_;    ///< spilled weight
    history requests_;  ///< number of requests
};

/** Between the data centres of a service. */
using shift_limiter = basic_shift_limiter<core::data_centre_id>;
/** Between the regions of a service. */
using region_shift_limiter = basic_shift_limiter<core::region_id>;

extern template class basic_shift_limiter<core::data_centre_id>;
extern template class basic_shift_limiter<core::region_id>;

} // namespace knapweed::state
