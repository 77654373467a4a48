#pragma once

#include "core/name_table.h"

#include <array>

namespace knapweed::core {

/** Priority class of a request; a lower value is more urgent. */
enum class rank { urgent, standard, bulk };

inline constexpr std::size_t number_of_ranks = 3;

/** One value for each rank, indexed by `index_of`. */
template <typename Value>
using per_rank = std::array<Value, number_of_ranks>;

inline constexpr per_rank<rank> all_ranks{rank::urgent, rank::standard, rank::bulk};

constexpr std::size_t index_of(rank value)
{
    return static_cast<std::size_t>(value);
}

template <>
struct names_of<rank> {
    static constexpr std::array<std::string_view, number_of_ranks> table{"urgent", "standard", "bulk"};
};

} // namespace knapweed::core
