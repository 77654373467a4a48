#include "steering/server_notices.h"

#include <algorithm>

namespace knapweed::steering {

namespace {

/** Limit of the reports in a message, of which each takes 8 bytes. */
constexpr std::size_t max_reports = 500;
/** Part by which a rest may be extended at random, so that not all instances come back at once. */
constexpr double longest_extension = 0.15;
/** Time for which others are told; a message may be lost. */
constexpr core::milliseconds reported_for{5000};

} // namespace

bool server_notices::is_registered(std::uint32_t server, std::uint32_t process) const
{
    const auto known = servers_.find_by_hash(server);
    return known && process_hash(known->record()) == process;
}

bool server_notices::mark_leaving(backend_server& server, bool first_hand)
{
    if (server.record().leaving)
        return false;
    server.mark_leaving();
    std::erase_if(leaving_,
                  [this](const auto& entry) { return !is_registered(entry.second.server, entry.first); });
    leaving_[process_hash(server.record())] = {short_hash(server), first_hand, time_.now()};
    if (on_leaving_)
        on_leaving_(server);
    return true;
}

void server_notices::record_answer(backend_server& server, const attempt_result& result)
{
    if (result.leaving && mark_leaving(server, true))
        has_news_ = true;
    record_rest(server, result);
}

void server_notices::record_rest(backend_server& server, const attempt_result& result)
{
    if (result.rest) {
        const auto rest = *result.rest * (1 + longest_extension * random_.fraction());
        server.rest().extend_to(time_.now() + std::chrono::duration_cast<core::duration>(rest));
    }
    else {
        server.rest().request_ended();
    }
    if (on_rest_ && (result.rest || result.malformed_rest))
        on_rest_(server, result);
}

void server_notices::receive(const std::vector<leaving_report>& reports, bool forwards)
{
    for (std::size_t i = 0; i < std::min(reports.size(), max_reports); ++i) {
        const auto server = servers_.find_by_hash(reports[i].server);
        if (!server || process_hash(server->record()) != reports[i].process)
            continue;
        if (mark_leaving(*server, false) && forwards)
            has_news_ = true;
    }
}

std::vector<leaving_report> server_notices::reports(bool forwards) const
{
    std::vector<leaving_report> result;
    for (const auto& [process, statement] : leaving_) {
        const bool is_recent = time_.now() - statement.heard_at < reported_for;
        if (is_recent && (statement.first_hand || forwards) && result.size() < max_reports)
            result.push_back({statement.server, process});
    }
    return result;
}

std::vector<leaving_report> server_notices::all_reports() const
{
    std::vector<leaving_report> result;
    for (const auto& [process, statement] : leaving_) {
        if (is_registered(statement.server, process) && result.size() < max_reports)
            result.push_back({statement.server, process});
    }
    return result;
}

} // namespace knapweed::steering
