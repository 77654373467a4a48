#pragma once

#include "config.pb.h"

#include <optional>
#include <string>
#include <string_view>

namespace knapweed::state {

/** @returns the configuration in the protobuf JSON mapping, as stored in the table service. */
[[nodiscard]] std::string to_json(const wire::configuration& configuration);

/** Parses the JSON form of a configuration; its rules are not checked, see `validate`.
    @param error receives the reason when parsing fails; may be null.
    @returns nothing when the text is malformed or contains an unknown field. */
[[nodiscard]] std::optional<wire::configuration> parse_configuration(std::string_view json,
                                                                     std::string* error = nullptr);

} // namespace knapweed::state
