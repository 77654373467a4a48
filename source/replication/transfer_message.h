#pragma once

#include "instance_status.pb.h"
#include "replication/table_transfer.h"

namespace knapweed::replication {

/** Fills the message of a transfer. */
void fill_message(wire::table_transfer& message, const table_transfer& transfer);
/** @returns the transfer, or nothing if the table or the form of a row is unknown. */
[[nodiscard]] std::optional<table_transfer> from_message(const wire::table_transfer& message);

} // namespace knapweed::replication
