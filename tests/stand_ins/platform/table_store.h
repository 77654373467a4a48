#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace knapweed::stand_ins {

/** Row of a table with its version. */
struct table_row {
    std::uint64_t version = 0; ///< of the transaction that wrote the row
    std::string value;
};

using row_name = std::pair<std::string, std::string>; ///< table and key

/** Conditions and writes that take effect together or not at all. */
struct table_transaction {
    /** Required versions of rows; 0 requires that the row is absent. */
    std::vector<std::pair<row_name, std::uint64_t>> conditions;
    std::vector<std::pair<row_name, std::optional<std::string>>> writes; ///< no value deletes the row
};

/** Stores rows with versions. Versions count transactions, so a row that is deleted and written again has a
    higher version than before. */
class table_store {
public:
    [[nodiscard]] std::optional<table_row> read(const row_name& name) const;

    /** @returns the row before its last change. */
    [[nodiscard]] std::optional<table_row> read_previous(const row_name& name) const;

    /** Applies all writes if all conditions hold.

        @returns the version of the written rows, or nothing when a condition does not hold.
    */
    std::optional<std::uint64_t> commit(const table_transaction& transaction);

private:
    struct row_history {
        std::optional<table_row> current;
        std::optional<table_row> previous;
    };

    std::map<row_name, row_history> rows_;
    std::uint64_t version_ = 0;
};

} // namespace knapweed::stand_ins
