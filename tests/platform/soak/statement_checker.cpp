#include "statement_checker.h"

#include <algorithm>

namespace knapweed::soak {

namespace {

/** A gateway that has passed on an answer sends the server nothing that callers send later than this. */
constexpr core::milliseconds drain_limit{2500};
/** A gateway that was turned away sends at most this many requests from here on until the rest has ended. */
constexpr core::milliseconds rest_begins{500};
constexpr std::size_t allowed_requests = 2;

/** @returns whether the gateway has read the answer to a request: it passed it on, or the caller was answered
   after the server had turned the request away. */
bool was_read(const request_record& request, const server_arrival& arrival)
{
    constexpr unsigned success = 200;
    if (request.result != caller_result::answered)
        return false;
    return !arrival.ran || (request.status == success && &arrival == &request.arrivals.back());
}

} // namespace

statement_checker::statement_checker(const request_records& records, judge is_judged)
    : is_judged_(std::move(is_judged))
{
    for (const auto& [id, request] : records) {
        for (const auto& arrival : request.arrivals)
            exchanges_[{request.gateway, request.incarnation, arrival.server}].push_back(
                {&request, &arrival});
    }
}

std::optional<core::milliseconds> statement_checker::told_at(const std::vector<exchange>& exchanges)
{
    std::optional<core::milliseconds> first;
    for (const auto& [request, arrival] : exchanges) {
        if (!arrival->stated_leaving || !was_read(*request, *arrival))
            continue;
        const auto at = arrival->ran ? request->ended : arrival->at;
        first = std::min(first.value_or(at), at);
    }
    return first;
}

std::vector<std::string> statement_checker::check_leaving() const
{
    std::vector<std::string> broken;
    for (const auto& [between, exchanges] : exchanges_) {
        const auto told = told_at(exchanges);
        if (!told)
            continue;
        const auto late = std::count_if(exchanges.begin(), exchanges.end(), [&](const exchange& sent) {
            return sent.request->sent > *told + drain_limit &&
                   is_judged_(*sent.request, *sent.arrival, *told);
        });
        if (late > 0)
            broken.push_back("DRAIN: " + std::to_string(late) + " requests reached " + between.server +
                             " from " + between.gateway + ", to which it had answered at " +
                             std::to_string(told->count()) + " ms that it leaves");
    }
    return broken;
}

std::size_t statement_checker::count_during_rest(const server_arrival& turned_away,
                                                 const std::vector<exchange>& exchanges) const
{
    return static_cast<std::size_t>(
        std::count_if(exchanges.begin(), exchanges.end(), [&](const exchange& sent) {
            const auto at = sent.arrival->at;
            return at > turned_away.at + rest_begins && at < turned_away.at + *turned_away.rest &&
                   is_judged_(*sent.request, *sent.arrival, turned_away.at);
        }));
}

std::vector<std::string> statement_checker::check_rests() const
{
    std::vector<std::string> broken;
    for (const auto& [between, exchanges] : exchanges_) {
        for (const auto& [request, arrival] : exchanges) {
            const auto number = arrival->rest ? count_during_rest(*arrival, exchanges) : 0;
            if (number <= allowed_requests)
                continue;
            broken.push_back("BUDGET: " + between.server + " asked " + between.gateway + " for " +
                             std::to_string(arrival->rest->count()) + " ms of rest at " +
                             std::to_string(arrival->at.count()) + " ms, and got " + std::to_string(number) +
                             " requests");
            break;
        }
    }
    return broken;
}

std::size_t statement_checker::number_told() const
{
    return static_cast<std::size_t>(
        std::count_if(exchanges_.begin(), exchanges_.end(),
                      [](const auto& between) { return told_at(between.second).has_value(); }));
}

std::size_t statement_checker::number_turned_away() const
{
    std::size_t number = 0;
    for (const auto& [between, exchanges] : exchanges_)
        number += static_cast<std::size_t>(
            std::count_if(exchanges.begin(), exchanges.end(),
                          [](const exchange& sent) { return sent.arrival->rest.has_value(); }));
    return number;
}

std::size_t statement_checker::most_during_rest() const
{
    std::size_t most = 0;
    for (const auto& [between, exchanges] : exchanges_) {
        for (const auto& sent : exchanges) {
            if (sent.arrival->rest)
                most = std::max(most, count_during_rest(*sent.arrival, exchanges));
        }
    }
    return most;
}

} // namespace knapweed::soak
