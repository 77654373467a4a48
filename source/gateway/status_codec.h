#pragma once

#include "steering/peer_table.h"

#include <optional>
#include <string>
#include <string_view>

namespace knapweed::gateway {

/** @returns the message that tells other instances of this one; see schema/instance_status.proto. */
[[nodiscard]] std::string encode_status(const steering::instance_status& status);

/** @returns the status in a message, or nothing when it is malformed or names no instance. */
[[nodiscard]] std::optional<steering::instance_status> decode_status(std::string_view message);

} // namespace knapweed::gateway
