#pragma once

#include "core/core.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace knapweed::operators {

/** Asks which data centres and instances receive the requests for a service. */
struct where_command {
    core::service_id service;
    std::optional<core::region_id> from;
};

/** Asks for the reasons behind the weights of a service, or for the steps of one request. */
struct why_command {
    std::string subject; ///< a service, or a request as CALLER/KEY
};

enum class drain_target { data_centre, backend_server, instance };

/** Takes a data centre, backend server or instance out of service, or returns it to service. */
struct drain_command {
    drain_target target = drain_target::data_centre;
    std::string name;    ///< a backend server may also be given as SERVICE/NAME
    bool drained = true; ///< false for `undrain`
};

/** Sets the shift cap of a service. */
struct cap_command {
    core::service_id service;
    std::uint32_t permille = 0; ///< share of the traffic that may move in a window
    core::milliseconds window{0};
};

struct config_show_command {};
struct config_history_command {};
struct config_apply_command {
    std::string json;
};

struct quarantine_list_command {};
struct quarantine_lift_command {
    core::fingerprint fingerprint;
};

struct status_command {};

using command = std::variant<where_command, why_command, drain_command, cap_command, config_show_command,
                             config_history_command, config_apply_command, quarantine_list_command,
                             quarantine_lift_command, status_command>;

/** Reason why a command can't be carried out. */
struct command_error {
    /** Offset in the command line in bytes, starting with 0; nothing when the command could be parsed. */
    std::optional<std::size_t> position;
    std::string message;
    std::string suggestion; ///< most similar valid word; may be empty
};

/** @returns the error as one line for an operator. */
[[nodiscard]] std::string describe(const command_error& error);

/** Parses one line of the command language. @see docs/command-language.md */
[[nodiscard]] std::variant<command, command_error> parse_command(std::string_view line);

/** @returns the word that is most similar to a misspelt one, or an empty text when none is similar enough. */
[[nodiscard]] std::string closest_word(std::string_view misspelt, const std::vector<std::string>& words);

/** Longest command in bytes, sufficient for a complete configuration. */
inline constexpr std::size_t longest_command = 4U << 20U;

} // namespace knapweed::operators

template <>
struct knapweed::core::names_of<knapweed::operators::drain_target> {
    static constexpr std::array<std::string_view, 3> table{"data_centre", "backend_server", "instance"};
};
