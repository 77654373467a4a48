#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace knapweed::steering {

/** The tables of the store of which every instance keeps a copy. */
enum class replicated_table { operators, servers };

inline constexpr std::size_t number_of_replicated_tables = 2;

inline std::size_t index_of(replicated_table table)
{
    return static_cast<std::size_t>(table);
}

/** A row of the store, or the note that it was removed. */
struct table_row {
    std::string key;
    std::string value; ///< decoded; empty for a removed row
    std::uint64_t version = 0;
    bool removed = false;
};

/** Changes of a table, as one instance read them from the store and tells them to others. */
struct table_change {
    replicated_table table = replicated_table::operators;
    std::uint64_t follows = 0; ///< newest change of the table before these; without it the copy stays behind
    std::uint64_t newest = 0;  ///< newest of these changes
    std::uint64_t version = 0; ///< of the store; the table has no other change up to it
    std::vector<table_row> rows;
};

/** What an instance tells the others of its view of the store. */
struct store_view {
    bool reads = false;     ///< it is a reader: it follows the store and tells its region what changed
    bool reachable = false; ///< the store answered its last call
    std::array<std::uint64_t, number_of_replicated_tables> newest_change{};
};

} // namespace knapweed::steering
