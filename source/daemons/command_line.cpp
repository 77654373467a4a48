#include "command_line.h"

#include <array>
#include <cstdio>
#include <getopt.h>

namespace knapweed::daemons {

namespace {

using action = command_line::action;

command_line reject(std::string error)
{
    return {action::reject, {}, std::move(error)};
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
        const int option_code = getopt_long(argc, argv, ":s:c:hv", options.data(), nullptr);
        if (option_code == -1)
            break;
        if (option_code == 'h')
            return {action::show_help, {}, {}};
        if (option_code == 'v')
            return {action::show_version, {}, {}};
        if (option_code == ':')
            return reject(std::string("missing value for ") + argv[optind - 1]);
        if (option_code == '?')
            return reject(std::string("unknown option ") + argv[optind - 1]);
        if (line.requested_action != action::reject)
            return reject("only one of --settings and --check-config may be given, and only once");
        line.requested_action = option_code == 's' ? action::serve : action::check_config;
        line.settings_file = optarg;
    }
    if (optind < argc)
        return reject(std::string("unexpected argument ") + argv[optind]);
    if (line.requested_action == action::reject && default_settings.empty())
        return reject("--settings FILE is required");
    if (line.requested_action == action::reject)
        return {action::serve, default_settings, {}};
    return line;
}

int run_command(const command_line& line, const char* program, const char* usage,
                const std::function<int(const command_line&)>& serve)
{
    using action = command_line::action;
    switch (line.requested_action) {
    case action::show_help:
        std::fputs(usage, stdout);
        return exit_ok;
    case action::show_version:
        std::printf("%s %s\n", program, KNAPWEED_VERSION);
        return exit_ok;
    case action::reject:
        std::fprintf(stderr, "%s: %s\n%s", program, line.error.c_str(), usage);
        return exit_bad_input;
    case action::serve:
    case action::check_config:
        return serve(line);
    }
    return exit_bad_input;
}

} // namespace knapweed::daemons
