#include "stand_ins/load/load_options.h"

#include <fstream>
#include <iostream>

namespace knapweed::stand_ins {

namespace {

option_parser::value_parser make_endpoints_parser(std::vector<tcp::endpoint>& target)
{
    return [&target](const std::string& text) {
        const auto endpoints = parse_endpoints(text);
        target = endpoints.value_or(std::vector<tcp::endpoint>{});
        return endpoints.has_value();
    };
}

bool read_mix(const std::string& file, request_mix& target)
{
    std::ifstream stream{file};
    std::string error;
    const auto mix = parse_mix(nlohmann::json::parse(stream, nullptr, false), error);
    if (!mix) {
        std::cerr << file << ": " << error << '\n';
        return false;
    }
    target = *mix;
    return true;
}

} // namespace

void add_load_options(option_parser& parser, load_options& options)
{
    parser.add("entries", "LIST", "all entry instances, as ip:port or ip:first-last, separated by commas",
               make_endpoints_parser(options.entries));
    parser.add("backends", "LIST", "backend servers whose ledgers are read at the end",
               make_endpoints_parser(options.backends));
    parser.add("mix", "FILE", "kinds of requests, a JSON array",
               [&options](const std::string& file) { return read_mix(file, options.mix); });
    parser.add_decimal("rate", "requests per second, arriving as a Poisson process", options.rate, 0.001,
                       1e6);
    parser.add_number("duration-s", "seconds for which requests arrive", options.duration_seconds, 1, 86400);
    parser.add_number("callers", "number of callers", options.callers, 1, 1'000'000);
    parser.add_number("seed", "seed for the choice of arrival times, callers and kinds of requests",
                      options.seed, 0, UINT32_MAX);
    parser.add_number("resends", "times that a refused request is sent again", options.caller.max_resends, 0,
                      10);
    parser.add_milliseconds("grace-ms", "time after a request's timeout in which its outcome must arrive",
                            options.caller.grace_period);
    parser.add_milliseconds("settle-ms", "time between the last outcome and the reading of the ledgers",
                            options.settle);
    parser.add_text("run-name", "NAME", "prefix of all keys; by default seed and time",
                    options.caller.run_name);
    parser.add_flag("direct", "send to backend servers, given by --entries, without look-ups",
                    options.caller.direct);
    parser.add_flag("allow-cut-off",
                    "accept connections that are closed without an outcome and answers that break off",
                    options.allow_cut_off);
    parser.add_text("json", "FILE", "write the results to a file", options.json_file);
    parser.add_number("lifetime-s", "seconds after which the process ends", options.lifetime_seconds, 1,
                      86400);
}

} // namespace knapweed::stand_ins
