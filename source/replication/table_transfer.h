#pragma once

#include "replication/byte_delta.h"
#include "steering/table_change.h"

#include <cstdint>
#include <string>
#include <vector>

namespace knapweed::replication {

/** How a transfer describes a row. The values are those of the messages. */
enum class row_form { unchanged, removed, whole, delta };

inline constexpr std::size_t number_of_row_forms = 4;

/** A row of a transfer. */
struct transferred_row {
    std::string key;
    std::uint64_t version = 0; ///< version of the store that the row was written with
    row_form form = row_form::unchanged;
    std::uint64_t base_version = 0; ///< version of the row that a delta is based on
    std::size_t size = 0;           ///< bytes of the value, or of the serialised delta
    std::uint64_t hash = 0;         ///< of the value
    std::string packed;             ///< the value or the serialised delta, see `pack`
};

/** What an instance sends of a table to another one that has an earlier copy. */
struct table_transfer {
    steering::replicated_table table = steering::replicated_table::operators;
    bool complete = false;     ///< all rows of the table are named
    std::uint64_t follows = 0; ///< version that the receiver's copy must have at least
    std::uint64_t newest = 0;  ///< version of the newest change
    std::uint64_t version = 0; ///< version of the store up to which the table has no other changes
    std::uint64_t era = 0;     ///< of all these versions
    std::vector<transferred_row> rows;
};

/** @returns a delta in the form in which it is packed. */
[[nodiscard]] std::string serialise(const byte_delta& delta);
/** @returns the delta, or nothing if the text is malformed. */
[[nodiscard]] std::optional<byte_delta> parse_delta(std::string_view text);

/** @returns a transfer as the content of an answer. */
[[nodiscard]] std::string serialise(const table_transfer& transfer);
/** @returns the transfer, or nothing if the text is malformed or the table or the form of a row unknown. */
[[nodiscard]] std::optional<table_transfer> parse_transfer(std::string_view text);

} // namespace knapweed::replication
