#pragma once

#include "replication/table_transfer.h"
#include "steering/account_load_exchange.h"
#include "steering/crash_evidence.h"
#include "steering/peer_loads.h"
#include "steering/peer_table.h"
#include "steering/server_limits.h"
#include "steering/server_notices.h"
#include "steering/table_change.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace knapweed::gateway {

/** @returns the serialised status message of an instance; see schema/instance_status.proto. */
[[nodiscard]] std::string encode_status(const steering::instance_status& status);

/** @returns the decoded status message, or nothing when it is malformed, lacks the instance or names an
    address that is none. */
[[nodiscard]] std::optional<steering::instance_status> decode_status(std::string_view message);

/** Decoded content of a datagram from another instance; `std::monostate` when it is invalid. */
using peer_message = std::variant<std::monostate, steering::instance_status, steering::instance_load,
                                  steering::table_change, std::vector<steering::crash_report>,
                                  std::vector<steering::limit_report>, std::vector<steering::leaving_report>,
                                  replication::table_transfer, steering::account_load_message>;

/** @returns a serialised datagram with one message. */
[[nodiscard]] std::string encode_datagram(const steering::instance_status& status);
[[nodiscard]] std::string encode_datagram(const steering::instance_load& load);
[[nodiscard]] std::string encode_datagram(const steering::table_change& change);
[[nodiscard]] std::string encode_datagram(const replication::table_transfer& transfer);
[[nodiscard]] std::string encode_datagram(const std::vector<steering::crash_report>& reports);
[[nodiscard]] std::string encode_datagram(const std::vector<steering::limit_report>& reports);
[[nodiscard]] std::string encode_datagram(const std::vector<steering::leaving_report>& reports);

[[nodiscard]] std::string encode_datagram(const steering::account_load_message& loads);

/** @returns the message of a datagram, `std::monostate` when it is malformed, lacks the instance or belongs
   to an unknown table. */
[[nodiscard]] peer_message decode_datagram(std::string_view datagram);

} // namespace knapweed::gateway
