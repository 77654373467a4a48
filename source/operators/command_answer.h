#pragma once

#include "core/core.h"
#include "operators/command.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace knapweed::operators {

/** Answer to one command, before it is written as the text of an `answer_operator`. */
struct command_answer {
    bool accepted = true;
    nlohmann::json body; ///< an object; knapweedctl prints its member `text`
};

/** @returns a refusal whose body has the members `error` and `text`. */
[[nodiscard]] command_answer refuse(const std::string& reason);
[[nodiscard]] command_answer refuse(const command_error& error);

/** @returns the refusal for an unknown name, with the most similar known name as suggestion. */
[[nodiscard]] command_answer unknown_name(const std::string& kind, const std::string& name,
                                          const std::vector<std::string>& known);

[[nodiscard]] std::int64_t to_milliseconds(core::duration time);

/** @returns an age in whole milliseconds, or null. */
[[nodiscard]] nlohmann::json age_or_null(const std::optional<core::duration>& age);

/** @returns a share as a percentage with one decimal place, such as `12.5%`. */
[[nodiscard]] std::string percent(double share);

} // namespace knapweed::operators
