#include "cut_checker.h"

namespace knapweed::soak {

namespace {

/** Time from the loss of its paths after which an instance serves its callers again. */
constexpr core::milliseconds contact_time{3000};
constexpr core::milliseconds recovery_time{1500};
/** Requests sent in this time before the cut may still be running when it begins. */
constexpr core::milliseconds longest_run{200};
constexpr double least_part_of_others = 2.0 / 3;
constexpr std::size_t allowed_failures = 10;
constexpr std::size_t requests_per_allowed_failure = 50;
constexpr double least_share = 0.95;

bool is_served(const request_record& record)
{
    return record.result == caller_result::answered && record.status < 300 && record.violation.empty();
}

void check_least_share(const std::string& who, const served_share& served, std::vector<std::string>& broken)
{
    if (served.share() < least_share)
        broken.push_back(who + " served " + served.text() + " at the first attempt");
}

} // namespace

cut_checker::cut_checker(const request_records& records, cut_times times)
    : records_(records), times_(std::move(times))
{}

served_share cut_checker::count(bool at_cut_gateways, core::milliseconds from, core::milliseconds to) const
{
    served_share result;
    for (const auto& [id, record] : records_) {
        if (record.gateway.empty() || record.sent < from || record.sent >= to ||
            times_.cut_gateways.contains(record.gateway) != at_cut_gateways)
            continue;
        ++result.sent;
        result.served += is_served(record) ? 1 : 0;
    }
    return result;
}

std::string cut_checker::summary() const
{
    const auto from = times_.began + contact_time;
    return "cut gateways served " + count(true, from, times_.healed).text() +
           " at the first attempt, the others " + count(false, from, times_.healed).text();
}

std::vector<std::string> cut_checker::check() const
{
    std::vector<std::string> broken;
    const auto contact = times_.began + contact_time;
    const auto at_cut = count(true, contact, times_.healed);
    const auto at_others = count(false, contact, times_.healed);
    const bool few_failures =
        at_cut.sent - at_cut.served <= allowed_failures + at_cut.sent / requests_per_allowed_failure;
    if (at_cut.sent == 0 || (at_cut.share() < least_part_of_others * at_others.share() && !few_failures))
        broken.push_back("RECOVER: " + summary());
    const auto before = times_.began - longest_run;
    check_least_share("before the cut, the gateways to be cut off", count(true, {}, before), broken);
    check_least_share("before the cut, the others", count(false, {}, before), broken);
    check_least_share("during the cut, the others", count(false, times_.began, times_.healed), broken);
    const auto recovered = times_.healed + recovery_time;
    check_least_share("after the cut, the cut gateways", count(true, recovered, times_.finished), broken);
    check_least_share("after the cut, the others", count(false, recovered, times_.finished), broken);
    return broken;
}

} // namespace knapweed::soak
