#include "core/hex.h"

namespace knapweed::core {

namespace {

constexpr std::string_view hex_digits = "0123456789abcdef";
constexpr std::size_t hash_digits = 16;

} // namespace

std::string to_hex(std::uint64_t value)
{
    std::string text(hash_digits, '0');
    for (auto digit = text.rbegin(); digit != text.rend(); ++digit, value >>= 4U)
        *digit = hex_digits[value & 15U];
    return text;
}

std::optional<std::uint64_t> parse_hex(std::string_view text)
{
    if (text.size() != hash_digits)
        return std::nullopt;
    std::uint64_t value = 0;
    for (const char c : text) {
        const auto digit = hex_digits.find(c);
        if (digit == std::string_view::npos)
            return std::nullopt;
        value = value << 4U | digit;
    }
    return value;
}

} // namespace knapweed::core
