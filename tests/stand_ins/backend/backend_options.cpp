#include "stand_ins/backend/backend_options.h"

namespace knapweed::stand_ins {

namespace {

template <typename Enum>
option_parser::value_parser make_name_parser(Enum& target)
{
    return [&target](const std::string& text) {
        const auto value = core::parse_name<Enum>(text);
        target = value.value_or(target);
        return value.has_value();
    };
}

} // namespace

void add_backend_options(option_parser& parser, backend_options& options)
{
    parser.add_number("servers", "number of servers, one port each", options.servers, 1, 2000);
    parser.add_number("first-port", "port of the first server on 127.0.0.1", options.first_port, 1, 65535);
    parser.add_text("service", "NAME", "service of all servers", options.service);
    parser.add_number("slots", "requests that a server runs at the same time", options.slots, 1, 10000);
    parser.add_number("seed", "seed of the run times", options.seed, 0, UINT32_MAX);
    parser.add("run-distribution", "NAME", "fixed, exponential or log_normal [log_normal]",
               make_name_parser(options.distribution));
    parser.add_milliseconds("run-ms", "mean run time", options.run_mean);
    parser.add_decimal("run-sigma", "standard deviation of the logarithm of a log-normal run time",
                       options.run_sigma, 0, 4);
    parser.add_number("answer-bytes", "filler bytes of an answer", options.answer_bytes, 0, 32U << 20U);
    parser.add("answer-format", "NAME", "bytes or json [bytes]", [&options](const std::string& text) {
        options.format = text == "json" ? answer_format::json : answer_format::bytes;
        return text == "json" || text == "bytes";
    });
    parser.add_milliseconds("health-lag-ms", "lag of the state that health answers report",
                            options.health_lag);
    parser.add(
        "health-lie", "NAME",
        "state that health answers report instead of the real one: none, idle, full or unhealthy [none]",
        make_name_parser(options.initial_health_override));
    parser.add_number("cold-requests", "slow requests after a start", options.cold_requests, 0, 1'000'000);
    parser.add_decimal("cold-factor", "factor on the run time of a slow request", options.cold_factor, 1,
                       1000);
    parser.add_milliseconds("restart-ms", "time for which a crashed server refuses connections",
                            options.restart_time);
    parser.add_number("lifetime-s", "seconds after which the process ends", options.lifetime_seconds, 1,
                      86400);
}

} // namespace knapweed::stand_ins
