#include "gateway/server_log.h"

namespace knapweed::gateway {

namespace {

json_line make_line(std::string_view event, const steering::backend_server& server)
{
    json_line line(event);
    line.add("server", server.record().id.str()).add("service", server.record().service.str());
    return line;
}

void log_limit(event_log& log, const steering::backend_server& server, const steering::attempt_result& answer)
{
    auto line = make_line("server_limit", server);
    if (answer.malformed_limit)
        line.add("malformed", true);
    if (answer.request_limit)
        line.add("requests_per_second", *answer.request_limit);
    log.info(std::move(line));
}

void log_rest(event_log& log, const steering::backend_server& server, const steering::attempt_result& answer)
{
    auto line = make_line("server_rest", server);
    if (answer.malformed_rest)
        line.add("malformed", true);
    if (answer.rest)
        line.add_ms("rest_ms", *answer.rest);
    log.info(std::move(line));
}

} // namespace

void log_statements(steering::steerer& steerer, event_log& log)
{
    steerer.limits().on_statement(
        [&log](const auto& server, const auto& answer) { log_limit(log, server, answer); });
    steerer.notices().on_leaving(
        [&log](const auto& server) { log.info(make_line("server_leaving", server)); });
    steerer.notices().on_rest(
        [&log](const auto& server, const auto& answer) { log_rest(log, server, answer); });
}

} // namespace knapweed::gateway
