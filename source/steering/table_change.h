#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace knapweed::steering {

/** The tables of the store that every instance copies. */
enum class replicated_table { operators, servers };

inline constexpr std::size_t number_of_replicated_tables = 2;

/** @returns the index of a table in arrays with an entry for each replicated table. */
inline std::size_t index_of(replicated_table table)
{
    return static_cast<std::size_t>(table);
}

/** A version of the store with its era, which rises whenever the store comes back from an older copy of its
   rows. It then gives versions out again, so versions of two eras can't be compared. */
struct store_position {
    std::uint64_t era = 0; ///< 0 when the store states none
    std::uint64_t version = 0;

    friend auto operator<=>(const store_position&, const store_position&) = default;
};

/** A row of a table, or the removal of one. */
struct table_row {
    std::string key;
    std::string value;         ///< decoded; empty for a removed row
    std::uint64_t version = 0; ///< version of the store that the row was written with
    bool removed = false;
};

/** Changes of a table that a reader read from the store and sends to other instances. */
struct table_change {
    replicated_table table = replicated_table::operators;
    /** Up to this version there may be changes before these; after it there are none. A copy that isn't
       complete up to it can't apply these. */
    std::uint64_t follows = 0;
    std::uint64_t newest = 0;  ///< version of the newest of these changes
    std::uint64_t version = 0; ///< version of the store up to which the table has no other changes
    std::uint64_t era = 0;     ///< of all these versions
    std::vector<table_row> rows;
};

/** An instance's view of the store, as it sends it to the other instances. */
struct store_view {
    bool reads = false;     ///< the instance is the reader of its region and sends the changes to it
    bool reachable = false; ///< the store answered its last call
    std::uint64_t era = 0;  ///< of the versions; 0 also in the messages of a build that doesn't know eras
    std::array<std::uint64_t, number_of_replicated_tables>
        newest_change{};        ///< versions, by `index_of` the table; 0 without a copy of this era
    bool shares_copies = false; ///< others can take the operators' table from the instance
};

} // namespace knapweed::steering
