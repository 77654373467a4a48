#pragma once

#include "replication/table_transfer.h"

#include <functional>
#include <map>
#include <optional>

namespace knapweed::replication {

/** The rows of a table as the store holds them, from which other instances can get their copies.

    Pass it each change that is applied to the instance's copy. A transfer names rows that the receiver
   already has without their content, and describes a row that has changed by what it has in common with the
   version before, if that is known. A row that was received in packed form is passed on in that form.
*/
class row_archive {
public:
    /** Largest sum of the values of a transfer's rows in bytes; a larger one is malformed. */
    static constexpr std::size_t max_value_bytes = 32U << 20U;
    /** Largest serialised delta in bytes; a larger change is sent as a whole. */
    static constexpr std::size_t max_delta_bytes = 1U << 20U;

    explicit row_archive(steering::replicated_table table) : table_(table) {}

    /** Stores rows that were read from the store. @param complete all other rows are removed. @param
       make_deltas the changes of large rows will be sent to other instances. */
    void apply(const std::vector<steering::table_row>& rows, bool complete, bool make_deltas);
    /** Stores the rows of a transfer, whose content @p change has. */
    void apply(const table_transfer& transfer, const steering::table_change& change);

    /** @returns the content of a transfer, or nothing if it is damaged or based on rows that this archive
       doesn't have. */
    [[nodiscard]] std::optional<steering::table_change> unpack(const table_transfer& transfer) const;

    /** @returns a transfer of all rows. @param after version up to which the receiver's copy is complete, 0
       if it has none. @param as_of the versions that the transfer states. */
    [[nodiscard]] table_transfer transfer_after(std::uint64_t after, const steering::table_change& as_of);
    /** @returns a transfer of the rows of a change that was applied. */
    [[nodiscard]] table_transfer transfer_of(const steering::table_change& change);

private:
    struct stored_row {
        std::string value;
        std::uint64_t version = 0;
        std::uint64_t hash = 0;
        std::string packed_value; ///< empty until it is needed
        std::uint64_t base_version = 0;
        std::size_t delta_bytes = 0;
        std::string packed_delta; ///< from the version before; empty if it isn't known
    };

    [[nodiscard]] static transferred_row describe(const std::string& key, stored_row& row, bool as_delta);
    [[nodiscard]] std::optional<steering::table_row> unpack(const transferred_row& row,
                                                            std::size_t max_bytes) const;

    steering::replicated_table table_;
    std::map<std::string, stored_row> rows_;
};

} // namespace knapweed::replication
