#include "net/parse_number.h"

#include <charconv>

namespace knapweed::net {

std::optional<std::uint64_t> parse_number(std::string_view text, int base)
{
    std::uint64_t value = 0;
    const auto* const end = text.data() + text.size();
    const auto [parsed_to, failure] = std::from_chars(text.data(), end, value, base);
    if (text.empty() || failure != std::errc{} || parsed_to != end)
        return std::nullopt;
    return value;
}

} // namespace knapweed::net
