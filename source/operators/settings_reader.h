#pragma once

#include "settings.pb.h"

#include <string>
#include <vector>

namespace knapweed::operators {

/** An error in a settings file. */
struct setting_error {
    std::string file;
    unsigned line = 0; ///< starting with 1; 0 when the file can't be read
    std::string message;
};

/** @returns `FILE:LINE: MESSAGE`. */
[[nodiscard]] std::string to_string(const setting_error& error);

/** Settings, including defaults for missing keys; valid only if there are no errors. */
struct settings_result {
    wire::settings settings;
    std::vector<setting_error> errors;
};

/** Reads settings in INI format. Sections, keys, defaults and limits come from schema/settings.proto.

    Unknown sections and keys, malformed or out-of-range values and missing required keys are errors. All
    errors are reported, not only the first.

    @param file name of the file for error messages.
*/
[[nodiscard]] settings_result parse_settings(const std::string& text, const std::string& file);

/** Reads a settings file. If it can't be read, the result has an error with line 0. */
[[nodiscard]] settings_result read_settings(const std::string& file);

} // namespace knapweed::operators
