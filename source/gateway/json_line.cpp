#include "gateway/json_line.h"

#include <array>
#include <cmath>
#include <cstdio>

namespace knapweed::gateway {

namespace {

void append_escaped(std::string& out, std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char last_ascii = 0x7e;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            out += '\\';
            out += c;
        }
        else if (byte >= first_printable && byte <= last_ascii) {
            out += c;
        }
        else {
            out += "\\u00";
            out += digits[byte >> 4U];
            out += digits[byte & 15U];
        }
    }
}

} // namespace

void json_line::begin_value(std::string_view key)
{
    if (!text_.empty())
        text_ += ',';
    text_ += '"';
    text_ += key;
    text_ += "\":";
}

json_line& json_line::add(std::string_view key, std::string_view text)
{
    begin_value(key);
    text_ += '"';
    append_escaped(text_, text);
    text_ += '"';
    return *this;
}

json_line& json_line::add(std::string_view key, double value)
{
    std::array<char, 32> digits{};
    std::snprintf(digits.data(), digits.size(), "%.3g", std::isfinite(value) ? value : 0.0);
    return add_raw(key, digits.data());
}

json_line& json_line::add(std::string_view key, bool value)
{
    return add_raw(key, value ? "true" : "false");
}

json_line& json_line::add_ms(std::string_view key, core::duration time)
{
    std::array<char, 32> digits{};
    std::snprintf(digits.data(), digits.size(), "%.1f",
                  std::chrono::duration<double, std::milli>(time).count());
    return add_raw(key, digits.data());
}

json_line& json_line::add_raw(std::string_view key, std::string_view json)
{
    begin_value(key);
    text_ += json;
    return *this;
}

} // namespace knapweed::gateway
