#include "gateway/quarantine_log.h"

#include <algorithm>

namespace knapweed::gateway {

namespace {

constexpr std::size_t max_listed_requests = 8;

void add_list(json_line& line, std::string_view name, const std::vector<std::string>& values)
{
    std::string list;
    for (const auto& value : values)
        list += (list.empty() ? "\"" : ",\"") + value + "\"";
    line.add_raw(name, "[" + list + "]");
}

void log_server_end(event_log& log, const steering::confirmed_end& end)
{
    const auto& record = end.server->record();
    std::vector<std::string> requests;
    for (std::size_t i = 0; i < std::min(end.requests.size(), max_listed_requests); ++i)
        requests.push_back(core::to_hex(end.requests[i].fingerprints.content.value));
    json_line line("server_ended");
    line.add("server", record.id.str())
        .add("process", steering::process_hash(record))
        .add("service", record.service.str())
        .add("requests_lost", end.requests.size());
    add_list(line, "fingerprints", requests);
    log.warn(std::move(line));
}

void log_change(event_log& log, const steering::crash_suspicion_change& change)
{
    std::vector<std::string> processes;
    for (const auto& end : change.ends)
        processes.push_back(std::to_string(end.process));
    json_line line("request_suspicion");
    line.add("fingerprint", core::to_hex(change.request.value)).add("state", core::name_of(change.suspicion));
    add_list(line, "ended_processes", processes);
    log.warn(std::move(line));
}

} // namespace

void log_quarantine(steering::request_quarantine& quarantine, event_log& log)
{
    quarantine.on_server_end([&log](const auto& end) { log_server_end(log, end); });
    quarantine.on_change([&log](const auto& change) { log_change(log, change); });
}

} // namespace knapweed::gateway
