#pragma once

#include "config.pb.h"

#include <string>
#include <string_view>
#include <vector>

namespace knapweed::state {

/** A field of a configuration that breaks a validation rule. */
struct configuration_error {
    std::string field;  ///< path, such as `services[orders].backend_servers[s1].slots`
    std::string reason; ///< message for operators, with the limits that apply

    auto operator<=>(const configuration_error&) const = default;
};

/** Checks a complete configuration.

    @returns all errors; empty when the configuration is valid. */
[[nodiscard]] std::vector<configuration_error> validate(const wire::configuration& configuration);

/** @returns the errors as one line of text for logs and operators. */
[[nodiscard]] std::string describe(const std::vector<configuration_error>& errors);

/** @returns whether a name has 1 to 64 characters of `[A-Za-z0-9._-]`. */
[[nodiscard]] bool is_name(std::string_view text);

/** @returns whether a text is an IPv4 address, or an IPv6 address in brackets, with a port of 1 to 65535. */
[[nodiscard]] bool is_address(std::string_view text);

} // namespace knapweed::state
