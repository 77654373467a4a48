#include "steering/server_end_monitor.h"

namespace knapweed::steering {

namespace {

constexpr core::milliseconds check_interval{200};
/** A server that doesn't respond to this many connections has ended, with its machine. */
constexpr unsigned silent_checks_to_end = 3;
/** Time after which a loss that could not be explained is forgotten. */
constexpr core::milliseconds max_examination{3000};
constexpr std::size_t max_examined_servers = 256;
constexpr std::size_t max_lost_requests = 64; ///< of one server

} // namespace

void server_end_monitor::record_loss(const server_pointer& server, const lost_request& request)
{
    const auto& id = server->record().id;
    if (server->record().leaving || (examined_.size() >= max_examined_servers && !examined_.contains(id)))
        return;
    auto& entry = examined_[id];
    if (entry.server != server)
        entry = {server, {}, time_.now(), time_.now(), 0, false};
    if (entry.requests.size() < max_lost_requests)
        entry.requests.push_back(request);
}

void server_end_monitor::record_connection(const core::server_id& server, connect_failure failure)
{
    const auto found = examined_.find(server);
    if (found == examined_.end())
        return;
    switch (failure) {
    case connect_failure::none:
        examined_.erase(found); // it lives: only connections were lost
        break;
    case connect_failure::timed_out:
        found->second.ended = ++found->second.silent_checks >= silent_checks_to_end;
        break;
    case connect_failure::refused:
    case connect_failure::other:
        found->second.ended = true;
        break;
    case connect_failure::limited:
        break;
    }
}

std::vector<server_pointer> server_end_monitor::next_checks()
{
    std::vector<server_pointer> due;
    for (auto& [id, entry] : examined_) {
        if (entry.ended || time_.now() < entry.next_check)
            continue;
        entry.next_check = time_.now() + check_interval;
        due.push_back(entry.server);
    }
    return due;
}

std::vector<confirmed_end> server_end_monitor::take_confirmed(link_state links)
{
    std::vector<confirmed_end> confirmed;
    if (links == link_state::cut)
        examined_.clear();
    for (auto entry = examined_.begin(); entry != examined_.end();) {
        const bool is_certain = entry->second.ended && links == link_state::sound;
        if (is_certain)
            confirmed.push_back({entry->second.server, std::move(entry->second.requests)});
        if (is_certain || time_.now() - entry->second.since >= max_examination)
            entry = examined_.erase(entry);
        else
            ++entry;
    }
    return confirmed;
}

void server_end_monitor::visit_unconfirmed(
    const std::function<void(const backend_server&, const std::vector<lost_request>&)>& visitor) const
{
    for (const auto& [id, entry] : examined_)
        visitor(*entry.server, entry.requests);
}

} // namespace knapweed::steering
