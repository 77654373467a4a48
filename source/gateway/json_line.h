#pragma once

#include "core/core.h"

#include <concepts>
#include <string>

namespace knapweed::gateway {

/** Builds one JSON object on one line, without a tree in between: log lines are written for each request. */
class json_line {
public:
    explicit json_line(std::string_view event) { add("event", event); }

    json_line& add(std::string_view key, std::string_view text);
    json_line& add(std::string_view key, const char* text) { return add(key, std::string_view(text)); }
    json_line& add(std::string_view key, double value);
    json_line& add(std::string_view key, bool value);
    template <std::integral Number>
    json_line& add(std::string_view key, Number value)
    {
        return add_raw(key, std::to_string(value));
    }
    /** Adds milliseconds with a tenth. */
    json_line& add_ms(std::string_view key, core::duration time);
    /** Adds a value that is JSON already. */
    json_line& add_raw(std::string_view key, std::string_view json);

    /** @returns the complete object. */
    [[nodiscard]] std::string str() const { return "{" + text_ + "}"; }

private:
    void begin(std::string_view key);

    std::string text_;
};

} // namespace knapweed::gateway
