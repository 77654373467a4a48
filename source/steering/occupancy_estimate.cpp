#include "steering/occupancy_estimate.h"

#include <algorithm>
#include <cmath>

namespace knapweed::steering {

namespace {

/** Time constant of the decay of a report: about the time until a server's running requests have ended. */
constexpr std::chrono::duration<double> report_decay{0.25};
/** Time for which the number from the load messages is used. It is renewed every 100 ms while load messages
   of any instance arrive. */
constexpr core::milliseconds peer_requests_valid_for{500};
/** Weight of a new report in the mean of the reports. */
constexpr double mean_weight = 0.1;

} // namespace

void occupancy_estimate::request_ended() noexcept
{
    if (own_ > 0)
        --own_;
}

void occupancy_estimate::observe(const load_report& report)
{
    latest_others_ = std::max(0.0, static_cast<double>(report.running + report.waiting) - own_);
    mean_others_ += mean_weight * (latest_others_ - mean_others_);
    reported_at_ = time_.now();
}

void occupancy_estimate::set_peer_requests(unsigned requests)
{
    peer_requests_ = requests;
    peer_requests_at_ = time_.now();
}

double occupancy_estimate::others() const
{
    if (peer_requests_at_ && time_.now() - *peer_requests_at_ < peer_requests_valid_for)
        return peer_requests_;
    if (!reported_at_)
        return 0;
    const std::chrono::duration<double> age = time_.now() - *reported_at_;
    const double remaining_weight = std::exp(-age.count() / report_decay.count());
    return mean_others_ + (latest_others_ - mean_others_) * remaining_weight;
}

std::optional<core::duration> occupancy_estimate::report_age() const
{
    return reported_at_ ? std::optional(time_.now() - *reported_at_) : std::nullopt;
}

} // namespace knapweed::steering
