#include "promise_checker.h"

#include <algorithm>
#include <array>

namespace knapweed::soak {

namespace {

/** Time that a server's leaving may take to reach all gateways. */
constexpr core::milliseconds drain_limit{2500};
/** A request sent this long after another one must not follow an older configuration. */
constexpr core::milliseconds rollback_slack{250};
constexpr double retry_ratio = 0.2;
constexpr double retry_extra = 60;

bool promises_not_run(unsigned status)
{
    constexpr std::array<unsigned, 4> statuses{408, 421, 429, 503};
    return std::find(statuses.begin(), statuses.end(), status) != statuses.end();
}

/** Checks what must hold for each request under all faults. */
void check_request(const std::string& id, const request_record& record, std::vector<std::string>& broken)
{
    const auto runs = std::count_if(record.arrivals.begin(), record.arrivals.end(),
                                    [](const server_arrival& arrival) { return arrival.ran; });
    if (!record.violation.empty())
        broken.push_back(id + ": " + record.violation);
    if (!record.idempotent && runs > 1)
        broken.push_back(id + ": ran " + std::to_string(runs) + " times");
    if (record.result == caller_result::answered && promises_not_run(record.status) && runs > 0)
        broken.push_back(id + ": answered " + std::to_string(record.status) + " and ran");
}

void check_retries(const request_records& records, std::vector<std::string>& broken)
{
    double repeats = 0;
    for (const auto& [id, record] : records)
        repeats += record.arrivals.size() > 1 ? static_cast<double>(record.arrivals.size()) - 1 : 0;
    if (repeats > retry_ratio * static_cast<double>(records.size()) + retry_extra)
        broken.push_back(std::to_string(repeats) + " repeats of " + std::to_string(records.size()) +
                         " requests");
}

/** A process that has followed a configuration must not follow an older one. */
void check_configuration(const request_records& records, const planned_changes& changes,
                         std::vector<std::string>& broken)
{
    const auto position = [&changes](const std::string& service) {
        return std::find(changes.services_in_order.begin(), changes.services_in_order.end(), service) -
               changes.services_in_order.begin();
    };
    struct seen_change {
        core::milliseconds at;
        std::ptrdiff_t position;
    };
    std::map<std::pair<std::string, int>, std::vector<seen_change>> seen;
    for (const auto& [id, record] : records) {
        if (record.route != "/moved/")
            continue;
        for (const auto& arrival : record.arrivals)
            seen[{record.gateway, record.incarnation}].push_back({arrival.at, position(arrival.service)});
    }
    for (const auto& [id, record] : records) {
        if (record.route != "/moved/" || record.arrivals.empty())
            continue;
        const auto own = position(record.arrivals.front().service);
        for (const auto& change : seen[{record.gateway, record.incarnation}]) {
            if (change.position > own && record.sent > change.at + rollback_slack) {
                broken.push_back(id + ": followed an older configuration than " + record.gateway +
                                 " had before");
                break;
            }
        }
    }
}

/** Without faults, servers that leave get nothing after a while, and every request that ran is answered. */
void check_planned_work(const request_records& records, const planned_changes& changes,
                        std::vector<std::string>& broken)
{
    for (const auto& [id, record] : records) {
        const bool ran = std::any_of(record.arrivals.begin(), record.arrivals.end(),
                                     [](const server_arrival& arrival) { return arrival.ran; });
        if (ran && record.result == caller_result::closed)
            broken.push_back(id + ": ran, and its connection was closed without an answer");
        for (const auto& arrival : record.arrivals) {
            const auto leaving = changes.leaving_since.find(arrival.server);
            if (leaving != changes.leaving_since.end() && arrival.at > leaving->second + drain_limit)
                broken.push_back(id + ": sent to " + arrival.server +
                                 ", which had been leaving for too long");
        }
    }
}

} // namespace

std::vector<std::string> check_promises(const request_records& records, const planned_changes& changes)
{
    std::vector<std::string> broken;
    for (const auto& [id, record] : records)
        check_request(id, record, broken);
    check_retries(records, broken);
    check_configuration(records, changes, broken);
    if (changes.only_planned)
        check_planned_work(records, changes, broken);
    return broken;
}

} // namespace knapweed::soak
