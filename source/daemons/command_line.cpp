#include "command_line.h"

#include <array>
#include <cstdio>
#include <getopt.h>

namespace knapweed::daemons {

namespace {

using request = command_line::request;

command_line reject(std::string fault)
{
    return {request::reject, {}, std::move(fault)};
}

} // namespace

command_line parse_command_line(int argc, char** argv, const std::string& default_settings)
{
    constexpr std::array<option, 5> options{{{"settings", required_argument, nullptr, 's'},
                                             {"check-config", required_argument, nullptr, 'c'},
                                             {"help", no_argument, nullptr, 'h'},
                                             {"version", no_argument, nullptr, 'v'},
                                             {nullptr, 0, nullptr, 0}}};
    command_line line;
    optind = 1;
    opterr = 0;
    for (;;) {
        const int given = getopt_long(argc, argv, ":s:c:hv", options.data(), nullptr);
        if (given == -1)
            break;
        if (given == 'h')
            return {request::show_help, {}, {}};
        if (given == 'v')
            return {request::show_version, {}, {}};
        if (given == ':')
            return reject(std::string("missing value for ") + argv[optind - 1]);
        if (given == '?')
            return reject(std::string("unknown option ") + argv[optind - 1]);
        if (line.asked != request::reject)
            return reject("--settings and --check-config may be given once in all");
        line.asked = given == 's' ? request::serve : request::check_config;
        line.settings_file = optarg;
    }
    if (optind < argc)
        return reject(std::string("unexpected argument ") + argv[optind]);
    if (line.asked == request::reject && default_settings.empty())
        return reject("--settings FILE is required");
    if (line.asked == request::reject)
        return {request::serve, default_settings, {}};
    return line;
}

int run_command(const command_line& line, const char* program, const char* usage,
                const std::function<int(const command_line&)>& serve)
{
    using request = command_line::request;
    switch (line.asked) {
    case request::show_help:
        std::fputs(usage, stdout);
        return exit_ok;
    case request::show_version:
        std::printf("%s %s\n", program, KNAPWEED_VERSION);
        return exit_ok;
    case request::reject:
        std::fprintf(stderr, "%s: %s\n%s", program, line.fault.c_str(), usage);
        return exit_bad_input;
    case request::serve:
    case request::check_config:
        return serve(line);
    }
    return exit_bad_input;
}

} // namespace knapweed::daemons
