#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace knapweed::core {

/** Names of the values of an enumeration, whose values are 0, 1, 2 and so on without gaps.

    Specialise `names_of` for each enumeration; `name_of` and `parse_name` then work for it.

    @see name_of, parse_name
*/
template <typename Enum>
struct names_of;

template <typename Enum>
inline constexpr std::size_t number_of_values = names_of<Enum>::table.size();

/** @returns the name of a value, as written in logs, metrics and headers. */
template <typename Enum>
constexpr std::string_view name_of(Enum value)
{
    return names_of<Enum>::table.at(static_cast<std::size_t>(value));
}

/** @returns the value with that name, or nothing when there is none. */
template <typename Enum>
constexpr std::optional<Enum> parse_name(std::string_view name)
{
    for (std::size_t i = 0; i < number_of_values<Enum>; ++i) {
        if (names_of<Enum>::table[i] == name)
            return static_cast<Enum>(i);
    }
    return std::nullopt;
}

} // namespace knapweed::core
