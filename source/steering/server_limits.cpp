#include "steering/server_limits.h"

#include <algorithm>

namespace knapweed::steering {

namespace {

/** A server that accepts nothing still gets a request now and then, whose answer may end its limit. */
constexpr double min_limit = 0.1;
/** Time for which a share is used; demand and the set of instances change more slowly. */
constexpr core::milliseconds share_valid_for{500};
constexpr std::size_t max_cached_shares = 4096;
/** In any time of this length, a server tolerates its limit times the factor, and some requests more. */
constexpr double window_seconds = 4;
constexpr double tolerated_factor = 1.5;
constexpr double tolerated_extra = 5;
/** Part of the tolerated requests that is used, since instances may differ for a moment on which instances
   are live. */
constexpr double usable_share = 0.9;
/** Time for which the end of a limit is reported. */
constexpr core::milliseconds end_reported_for{5000};
/** Limit of the reports in a message, of which each takes at most 27 bytes. */
constexpr std::size_t max_reports = 250;
/** A message may take this long; what it reports is older by as much than it states. */
constexpr core::milliseconds transit_allowance{150};

/** @returns the number of requests that all instances together may send to a server in any window. */
double max_requests(double limit)
{
    return usable_share * (limit * window_seconds * tolerated_factor + tolerated_extra);
}

double demand_for(const instance_status& status, const core::service_id& service)
{
    const auto found = status.demand.find(service);
    return found == status.demand.end() ? 0 : found->second;
}

} // namespace

/** An instance that may send to a server. */
struct server_limits::sender {
    std::uint64_t rank = 0;
    double demand = 0;
    bool is_own = false;
    bool in_region = false; ///< of the server
};

/** Divides a limit among as many senders, from the first on, as stay within the tolerated requests together
    even if each sends as early as it may. @param senders in the order of their ranks. @returns their shares.
 */
std::vector<double> server_limits::divide(double limit, const std::vector<sender>& senders)
{
    const double allowed = max_requests(limit);
    std::vector<double> shares(std::min(senders.size(), static_cast<std::size_t>(allowed) + 1));
    for (; !shares.empty(); shares.pop_back()) {
        double demand = 0;
        for (std::size_t i = 0; i < shares.size(); ++i)
            demand += senders[i].demand;
        double requests = 0;
        for (std::size_t i = 0; i < shares.size(); ++i) {
            const double part =
                demand > 0 ? senders[i].demand / demand : 1.0 / static_cast<double>(shares.size());
            shares[i] = limit * part;
            requests += named_limit::max_requests(shares[i], window_seconds);
        }
        if (requests <= allowed || shares.size() == 1)
            break;
    }
    return shares;
}

server_limits::server_limits(core::instance_id own, core::region_id region, const server_catalogue& servers,
                             const peer_table& peers, const core::clock& time)
    : own_(std::move(own)), region_(std::move(region)), servers_(servers), peers_(peers), time_(time)
{}

void server_limits::record_answer(backend_server& server, const attempt_result& result)
{
    const bool is_signed =
        result.outcome == attempt_outcome::answered || result.outcome == attempt_outcome::server_failed;
    if (!is_signed && result.outcome != attempt_outcome::not_run)
        return;
    const bool states_limit = is_signed ? !result.malformed_limit : result.request_limit.has_value();
    const bool changed = states_limit && server.limit().heard(result.request_limit);
    has_news_ = has_news_ || changed;
    if (on_statement_ && (changed || result.malformed_limit))
        on_statement_(server, result);
}

double server_limits::share_of(const backend_server& server, double own_demand)
{
    const double limit = std::max(server.limit().per_second().value_or(0), min_limit);
    if (shares_.size() >= max_cached_shares)
        shares_.clear();
    auto& share = shares_[process_hash(server.record())];
    if (time_.now() >= share.valid_until || share.limit != limit)
        share = {compute_share(server, limit, own_demand), limit, time_.now() + share_valid_for};
    return share.per_second;
}

double server_limits::compute_share(const backend_server& server, double limit, double own_demand) const
{
    const auto& service = server.record().service;
    std::vector<sender> senders;
    const auto add = [&](const core::instance_id& instance, const core::region_id& region, double demand,
                         bool is_own) {
        senders.push_back(
            {core::hash_text(instance.str(), server.id_hash()), demand, is_own, region == server.region()});
    };
    add(own_, region_, own_demand, true);
    peers_.visit_present([&](const instance_status& status) {
        if (status.reaches_servers)
            add(status.instance, status.location.region, demand_for(status, service), false);
    });
    const auto has_demand = [](const sender& candidate) {
        return candidate.in_region && candidate.demand > 0;
    };
    if (std::any_of(senders.begin(), senders.end(), has_demand))
        std::erase_if(senders, [](const sender& candidate) { return !candidate.in_region; });
    std::sort(senders.begin(), senders.end(),
              [](const sender& a, const sender& b) { return a.rank < b.rank; });
    const auto shares = divide(limit, senders);
    for (std::size_t i = 0; i < shares.size(); ++i) {
        if (senders[i].is_own)
            return shares[i];
    }
    return 0;
}

void server_limits::receive(const std::vector<limit_report>& reports, bool forwards)
{
    for (std::size_t i = 0; i < std::min(reports.size(), max_reports); ++i) {
        const auto& report = reports[i];
        const auto server = servers_.find_by_hash(report.server);
        if (!server || process_hash(server->record()) != report.process)
            continue;
        const bool changed =
            server->limit().told(report.per_second, time_.now() - report.age - transit_allowance);
        has_news_ = has_news_ || (changed && forwards);
    }
}

std::vector<limit_report> server_limits::reports(bool forwards) const
{
    std::vector<limit_report> result;
    servers_.visit([&](const backend_server& server) {
        const auto& limit = server.limit();
        const auto age = limit.age();
        if (!age || result.size() >= max_reports || (!limit.is_first_hand() && !forwards))
            return;
        if (limit.per_second() || *age < end_reported_for)
            result.push_back({short_hash(server), process_hash(server.record()), limit.per_second(),
                              std::chrono::duration_cast<core::milliseconds>(*age)});
    });
    return result;
}

} // namespace knapweed::steering
