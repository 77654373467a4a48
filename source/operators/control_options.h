#pragma once

#include "core/clock.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace knapweed::operators {

/** Exit codes of knapweedctl. */
enum class exit_code { ok, refused, usage, unreachable };

/** Command line of knapweedctl. */
struct control_options {
    std::vector<std::string> instances; ///< addresses (ip:port), in the order in which they are tried
    bool json = false;
    bool wait = false;
    core::milliseconds timeout{30000}; ///< maximum duration of `--wait`
    std::string operator_name;
    std::string command; ///< a line of the command language; `config apply` is followed by a file name
};

/** Text that is printed instead of running a command, such as the help. */
struct control_text {
    std::string text;
    exit_code code = exit_code::ok;
};

/** Parses the command line with getopt_long.
    @param arguments start with the name of the program.
    @returns the options, or the help, the version or an error message. */
[[nodiscard]] std::variant<control_options, control_text>
parse_control_options(std::vector<std::string> arguments);

/** @returns the file of a `config apply FILE` command, or nothing for other commands. */
[[nodiscard]] std::optional<std::string> file_to_apply(const control_options& options);

[[nodiscard]] std::string_view control_help();

} // namespace knapweed::operators
