#include "replication/table_transfer.h"

#include "replication/transfer_message.h"

namespace knapweed::replication {

std::string serialise(const byte_delta& delta)
{
    wire::byte_delta message;
    for (const auto& part : delta) {
        auto* added = message.add_parts();
        added->set_inserted(part.inserted);
        added->set_copied_from(static_cast<std::uint32_t>(part.copied_from));
        added->set_copied_bytes(static_cast<std::uint32_t>(part.copied_bytes));
    }
    return message.SerializeAsString();
}

std::optional<byte_delta> parse_delta(std::string_view text)
{
    wire::byte_delta message;
    if (!message.ParseFromArray(text.data(), static_cast<int>(text.size())))
        return std::nullopt;
    byte_delta delta;
    for (const auto& part : message.parts())
        delta.push_back({part.inserted(), part.copied_from(), part.copied_bytes()});
    return delta;
}

void fill_message(wire::table_transfer& message, const table_transfer& transfer)
{
    message.set_table(static_cast<std::uint32_t>(transfer.table));
    message.set_complete(transfer.complete);
    message.set_follows(transfer.follows);
    message.set_newest(transfer.newest);
    message.set_version(transfer.version);
    message.set_era(transfer.era);
    for (const auto& row : transfer.rows) {
        auto* added = message.add_rows();
        added->set_key(row.key);
        added->set_version(row.version);
        added->set_form(static_cast<std::uint32_t>(row.form));
        added->set_base_version(row.base_version);
        added->set_size(static_cast<std::uint32_t>(row.size));
        added->set_hash(row.hash);
        added->set_packed(row.packed);
    }
}

std::optional<table_transfer> from_message(const wire::table_transfer& message)
{
    if (message.table() >= steering::number_of_replicated_tables)
        return std::nullopt;
    table_transfer transfer;
    transfer.table = static_cast<steering::replicated_table>(message.table());
    transfer.complete = message.complete();
    transfer.follows = message.follows();
    transfer.newest = message.newest();
    transfer.version = message.version();
    transfer.era = message.era();
    for (const auto& row : message.rows()) {
        if (row.form() >= number_of_row_forms)
            return std::nullopt;
        transfer.rows.push_back({row.key(), row.version(), static_cast<row_form>(row.form()),
                                 row.base_version(), row.size(), row.hash(), row.packed()});
    }
    return transfer;
}

std::string serialise(const table_transfer& transfer)
{
    wire::table_transfer message;
    fill_message(message, transfer);
    return message.SerializeAsString();
}

std::optional<table_transfer> parse_transfer(std::string_view text)
{
    wire::table_transfer message;
    if (!message.ParseFromArray(text.data(), static_cast<int>(text.size())))
        return std::nullopt;
    return from_message(message);
}

} // namespace knapweed::replication
