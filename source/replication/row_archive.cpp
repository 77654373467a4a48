#include "replication/row_archive.h"

#include "core/hash.h"
#include "replication/packed_bytes.h"

#include <set>

namespace knapweed::replication {

namespace {

/** Smaller rows are always sent as a whole. */
constexpr std::size_t min_delta_base_bytes = 1024;

} // namespace

void row_archive::apply(const std::vector<steering::table_row>& rows, bool complete, bool make_deltas)
{
    std::set<std::string> named;
    for (const auto& row : rows) {
        named.insert(row.key);
        if (row.removed) {
            rows_.erase(row.key);
            continue;
        }
        auto& stored = rows_[row.key];
        if (stored.version == row.version && stored.value == row.value)
            continue;
        stored_row changed;
        changed.value = row.value;
        changed.version = row.version;
        changed.hash = core::hash_text(row.value);
        if (make_deltas && stored.value.size() >= min_delta_base_bytes) {
            const auto delta = serialise(make_delta(stored.value, row.value));
            if (delta.size() <= max_delta_bytes) {
                changed.base_version = stored.version;
                changed.delta_bytes = delta.size();
                changed.packed_delta = pack(delta);
            }
        }
        stored = std::move(changed);
    }
    if (complete)
        std::erase_if(rows_, [&named](const auto& entry) { return !named.contains(entry.first); });
}

void row_archive::apply(const table_transfer& transfer, const steering::table_change& change)
{
    apply(change.rows, transfer.complete, false);
    for (const auto& row : transfer.rows) {
        const auto found = rows_.find(row.key);
        if (found == rows_.end() || found->second.version != row.version || found->second.hash != row.hash)
            continue;
        if (row.form == row_form::whole) {
            found->second.packed_value = row.packed;
        }
        else if (row.form == row_form::delta) {
            found->second.base_version = row.base_version;
            found->second.delta_bytes = row.size;
            found->second.packed_delta = row.packed;
        }
    }
}

std::optional<steering::table_row> row_archive::unpack(const transferred_row& row,
                                                       std::size_t max_bytes) const
{
    steering::table_row result{row.key, {}, row.version, row.form == row_form::removed};
    if (result.removed)
        return result;
    // The store's versions begin with 1. A copy with a row of version 0 could not be passed on.
    if (row.version == 0 || row.size > (row.form == row_form::delta ? max_delta_bytes : max_bytes))
        return std::nullopt;
    const auto own = rows_.find(row.key);
    std::optional<std::string> value;
    if (row.form == row_form::unchanged) {
        if (own == rows_.end() || own->second.version != row.version || own->second.value.size() > max_bytes)
            return std::nullopt;
        value = own->second.value;
    }
    else {
        value = replication::unpack(row.packed, row.size);
    }
    if (value && row.form == row_form::delta) {
        const auto delta = parse_delta(*value);
        if (!delta || own == rows_.end() || own->second.version != row.base_version)
            return std::nullopt;
        value = apply_delta(own->second.value, *delta, max_bytes);
    }
    if (!value || core::hash_text(*value) != row.hash)
        return std::nullopt;
    result.value = std::move(*value);
    return result;
}

std::optional<steering::table_change> row_archive::unpack(const table_transfer& transfer) const
{
    steering::table_change change;
    change.table = transfer.table;
    change.follows = transfer.follows;
    change.newest = transfer.newest;
    change.version = transfer.version;
    change.era = transfer.era;
    std::size_t bytes_left = max_value_bytes;
    for (const auto& row : transfer.rows) {
        auto unpacked = unpack(row, bytes_left);
        if (!unpacked)
            return std::nullopt;
        bytes_left -= unpacked->value.size();
        change.rows.push_back(std::move(*unpacked));
    }
    return change;
}

transferred_row row_archive::describe(const std::string& key, stored_row& row, bool as_delta)
{
    if (as_delta)
        return {key,      row.version,     row_form::delta, row.base_version, row.delta_bytes,
                row.hash, row.packed_delta};
    if (row.packed_value.empty())
        row.packed_value = pack(row.value);
    return {key, row.version, row_form::whole, 0, row.value.size(), row.hash, row.packed_value};
}

table_transfer row_archive::transfer_after(std::uint64_t after, const steering::table_change& as_of)
{
    table_transfer transfer{table_, true, after, as_of.newest, as_of.version, as_of.era, {}};
    for (auto& [key, row] : rows_) {
        if (row.version <= after)
            transfer.rows.push_back({key, row.version, row_form::unchanged, 0, 0, row.hash, {}});
        else
            transfer.rows.push_back(
                describe(key, row, !row.packed_delta.empty() && row.base_version <= after));
    }
    return transfer;
}

table_transfer row_archive::transfer_of(const steering::table_change& change)
{
    table_transfer transfer{table_, false, change.follows, change.newest, change.version, change.era, {}};
    for (const auto& row : change.rows) {
        const auto found = rows_.find(row.key);
        if (row.removed || found == rows_.end())
            transfer.rows.push_back({row.key, row.version, row_form::removed, 0, 0, 0, {}});
        else
            transfer.rows.push_back(describe(row.key, found->second, !found->second.packed_delta.empty()));
    }
    return transfer;
}

} // namespace knapweed::replication
