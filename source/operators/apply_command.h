#pragma once

#include "config.pb.h"
#include "operators/command.h"

namespace knapweed::operators {

/** @returns whether a command changes the configuration, so that the result of `apply_command` has to be
    published. */
[[nodiscard]] bool changes_configuration(const command& input);

/** Applies a command to a configuration. The result has the version of @p configuration; pass that version as
    base to `state::configuration_store::publish`.

    The configuration in a `config apply` command must have version 0 or the version in force. Otherwise it
    could undo a change that its author has not seen.

    @returns the valid candidate, or an error when a name is unknown, nothing would change, the candidate
    breaks a validation rule, or the command does not change the configuration. */
[[nodiscard]] std::variant<wire::configuration, command_error>
apply_command(const wire::configuration& configuration, const command& input);

} // namespace knapweed::operators
