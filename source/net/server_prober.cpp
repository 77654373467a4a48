#include "net/server_prober.h"

#include <nlohmann/json.hpp>

namespace knapweed::net {

namespace {

constexpr std::size_t answer_limit_bytes = std::size_t{64} * 1024;

} // namespace

decision::server_report read_health(unsigned http_status, const std::string& body)
{
    decision::server_report report;
    report.healthy = http_status == 200;
    const auto parsed = nlohmann::json::parse(body, nullptr, false);
    if (!parsed.is_object())
        return report;
    if (const auto healthy = parsed.find("healthy"); healthy != parsed.end() && healthy->is_boolean())
        report.healthy = report.healthy && healthy->get<bool>();
    if (const auto leaving = parsed.find("leaving"); leaving != parsed.end() && leaving->is_boolean())
        report.leaving = leaving->get<bool>();
    if (const auto busy = parsed.find("busy"); busy != parsed.end() && busy->is_number_unsigned())
        report.busy = busy->get<std::uint32_t>();
    return report;
}

server_prober::server_prober(http_client& client, core::milliseconds timeout, telemetry& reports)
    : client_(client), timeout_(timeout), reports_(reports)
{}

asio::awaitable<decision::server_probed> server_prober::probe(decision::probe_server action)
{
    decision::server_probed event;
    event.service = action.service;
    event.server = action.server;
    event.sent = std::chrono::steady_clock::now();
    reports_.add(counter::probes_sent);
    outgoing_request request;
    request.method = "GET";
    request.target = "/health";
    const auto result =
        co_await client_.fetch(action.address, std::move(request), timeout_, answer_limit_bytes);
    event.reached = result.status == fetch_status::answered;
    if (event.reached)
        event.report = read_health(result.http_status, result.body);
    else
        reports_.add(counter::probes_failed);
    co_return event;
}

} // namespace knapweed::net
