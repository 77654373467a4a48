#include "steering/occupancy_estimate.h"

#include <algorithm>
#include <cmath>

namespace knapweed::steering {

namespace {

/** Time constant of the decay of a report: about the time in which a server ends what it was running. */
constexpr std::chrono::duration<double> report_decay{0.25};
/** What the other instances told is used for this time. While any of them is heard it is renewed every 100
 * ms. */
constexpr core::milliseconds told_valid_for{500};
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
    reported_ = time_.now();
}

void occupancy_estimate::set_peer_requests(unsigned requests)
{
    told_ = requests;
    told_at_ = time_.now();
}

double occupancy_estimate::others() const
{
    if (told_at_ && time_.now() - *told_at_ < told_valid_for)
        return told_;
    if (!reported_)
        return 0;
    const std::chrono::duration<double> age = time_.now() - *reported_;
    const double left = std::exp(-age.count() / report_decay.count());
    return mean_others_ + (latest_others_ - mean_others_) * left;
}

std::optional<core::duration> occupancy_estimate::report_age() const
{
    return reported_ ? std::optional(time_.now() - *reported_) : std::nullopt;
}

} // namespace knapweed::steering
