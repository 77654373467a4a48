#pragma once

#include <functional>
#include <string>

namespace knapweed::daemons {

/** The parsed arguments of a daemon. */
struct command_line {
    enum class action { serve, check_config, show_help, show_version, reject };

    action requested_action = action::reject;
    std::string settings_file;
    std::string error; ///< message for the user, set with `reject`
};

/** Parses the arguments with getopt_long. Not safe for concurrent calls.
    @param default_settings settings file to use when no argument names one; empty if one is required. */
[[nodiscard]] command_line parse_command_line(int argc, char** argv,
                                              const std::string& default_settings = {});

inline constexpr int exit_ok = 0;
inline constexpr int exit_bad_input = 2;

/** Performs the requested action. @param program name for messages. @param usage text for `--help` and after
    invalid arguments. @param serve called to serve or to check the settings. @returns the exit status. */
[[nodiscard]] int run_command(const command_line& line, const char* program, const char* usage,
                              const std::function<int(const command_line&)>& serve);

} // namespace knapweed::daemons
