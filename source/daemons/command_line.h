#pragma once

#include <functional>
#include <string>

namespace knapweed::daemons {

/** What the arguments of a daemon ask for. */
struct command_line {
    enum class request { serve, check_config, show_help, show_version, reject };

    request asked = request::reject;
    std::string settings_file;
    std::string fault; ///< with `reject`
};

/** Reads the arguments with getopt_long. Not safe for concurrent calls.
    @param default_settings file to serve with when no argument names one; empty when one must. */
[[nodiscard]] command_line parse_command_line(int argc, char** argv,
                                              const std::string& default_settings = {});

inline constexpr int exit_ok = 0;
inline constexpr int exit_bad_input = 2;

/** Does what the arguments ask for. @param program name for messages. @param serve called to serve or to
   check the settings. @returns the exit status. */
[[nodiscard]] int run_command(const command_line& line, const char* program, const char* usage,
                              const std::function<int(const command_line&)>& serve);

} // namespace knapweed::daemons
