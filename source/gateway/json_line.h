#pragma once

#include "core/core.h"

#include <concepts>
#include <string>

namespace knapweed::gateway {

/** Builds a JSON object on a single line. The text is built directly, without a tree of values, because a log
    line is written for each request. */
class json_line {
public:
    /** @param event value of the first key, `event`. */
    explicit json_line(std::string_view event) { add("event", event); }

    /** Adds a string; bytes other than printable ASCII are escaped. */
    json_line& add(std::string_view key, std::string_view text);
    json_line& add(std::string_view key, const char* text) { return add(key, std::string_view(text)); }
    /** Adds a number with three significant digits; 0 when it is not finite. */
    json_line& add(std::string_view key, double value);
    json_line& add(std::string_view key, bool value);
    template <std::integral Number>
    json_line& add(std::string_view key, Number value)
    {
        return add_raw(key, std::to_string(value));
    }
    /** Adds a time in milliseconds with one decimal place. */
    json_line& add_ms(std::string_view key, core::duration time);
    /** Adds a value that is already valid JSON. */
    json_line& add_raw(std::string_view key, std::string_view json);

    /** @returns the complete object. */
    [[nodiscard]] std::string str() const { return "{" + text_ + "}"; }

private:
    void begin_value(std::string_view key);

    std::string text_;
};

} // namespace knapweed::gateway
