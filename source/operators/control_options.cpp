#include "operators/control_options.h"

#include "state/configuration_rules.h"

#include <charconv>
#include <getopt.h>

namespace knapweed::operators {

namespace {

constexpr const char* program_version = "knapweedctl 0.1.0\n";

control_text usage_error(const std::string& message)
{
    return {"knapweedctl: " + message + "; see knapweedctl --help\n", exit_code::usage};
}

std::optional<core::milliseconds> parse_seconds(std::string_view text)
{
    int seconds = 0;
    constexpr int max_seconds = 3600;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size() || seconds < 1 ||
        seconds > max_seconds)
        return std::nullopt;
    return std::chrono::seconds{seconds};
}

} // namespace

std::string_view control_help()
{
    return R"(usage: knapweedctl --instance ADDR [OPTION...] COMMAND

  --instance ADDR   ip:port of an entry instance; may be given several times: the next is tried
                    when one is unreachable
  --json            print the result as JSON
  --wait            after a change, wait until it is in force on all given instances that can be
                    reached, and name those that can't
  --timeout SECONDS longest wait of --wait (default 30)
  --operator NAME   name for the history of changes (default: $USER)
  --help, --version

commands:
  where SERVICE [from REGION]               where requests for a service go
  why SERVICE|REQUEST                       why they go there, or what became of a request
  drain|undrain data_centre NAME
  drain|undrain backend_server NAME         NAME may be SERVICE/NAME
  drain|undrain instance NAME
  cap SERVICE PERCENT in SECONDS            share of traffic that may move in a window
  config show
  config history
  config apply FILE                         FILE holds a configuration as JSON; - is standard input
  quarantine list
  quarantine lift HEX
  status

exit codes: 0 ok, 1 refused, 2 usage, 3 unreachable
)";
}

std::variant<control_options, control_text> parse_control_options(std::vector<std::string> arguments)
{
    enum option_code { instance = 1, json, wait, timeout, operator_name, help, version };
    static const option options[]{{"instance", required_argument, nullptr, instance},
                                  {"json", no_argument, nullptr, json},
                                  {"wait", no_argument, nullptr, wait},
                                  {"timeout", required_argument, nullptr, timeout},
                                  {"operator", required_argument, nullptr, operator_name},
                                  {"help", no_argument, nullptr, help},
                                  {"version", no_argument, nullptr, version},
                                  {nullptr, 0, nullptr, 0}};
    std::vector<char*> raw;
    raw.reserve(arguments.size() + 1);
    for (auto& argument : arguments)
        raw.push_back(argument.data());
    raw.push_back(nullptr);

    control_options parsed;
    optind = 0; // getopt keeps its position between calls; 0 resets it
    opterr = 0;
    // With `+` the options end at the first word of the command.
    for (int code = 0;
         (code = getopt_long(static_cast<int>(arguments.size()), raw.data(), "+", options, nullptr)) != -1;) {
        switch (code) {
        case instance:
            if (!state::is_address(optarg))
                return usage_error("--instance must be ip:port, not " + std::string{optarg});
            parsed.instances.emplace_back(optarg);
            break;
        case json:
            parsed.json = true;
            break;
        case wait:
            parsed.wait = true;
            break;
        case timeout: {
            const auto seconds = parse_seconds(optarg);
            if (!seconds)
                return usage_error("--timeout must be 1 to 3600 seconds");
            parsed.timeout = *seconds;
            break;
        }
        case operator_name:
            parsed.operator_name = optarg;
            break;
        case help:
            return control_text{std::string{control_help()}, exit_code::ok};
        case version:
            return control_text{program_version, exit_code::ok};
        default:
            return usage_error("unknown option or missing value: " +
                               arguments.at(static_cast<std::size_t>(optind) - 1));
        }
    }
    for (auto i = static_cast<std::size_t>(optind); i < arguments.size(); ++i)
        parsed.command += (parsed.command.empty() ? "" : " ") + arguments[i];
    if (parsed.command.empty())
        return usage_error("a command is missing");
    if (parsed.instances.empty())
        return usage_error("--instance is missing");
    return parsed;
}

std::optional<std::string> file_to_apply(const control_options& options)
{
    constexpr std::string_view prefix = "config apply ";
    if (!options.command.starts_with(prefix))
        return std::nullopt;
    return options.command.substr(prefix.size());
}

} // namespace knapweed::operators
